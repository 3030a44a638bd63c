//! Facts that only ever rise in version.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bytes::Bytes;
use winch_hash::{mix, name as hash};
use winch_wire::message::{self, KeyVersions};

/// One fact.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fact {
    /// What it is about.
    pub key: Arc<str>,
    /// The higher version wins.
    pub version: u64,
    /// Its content.
    pub body: Bytes,
    /// How long it stays of use; `None` for ever.
    pub ttl: Option<Duration>,
    /// True if it is only pushed and never repaired.
    pub ephemeral: bool,
    /// True if the body was too large for a datagram and must be fetched.
    pub body_omitted: bool,
}

impl Fact {
    /// A lasting fact.
    pub fn new(key: impl Into<Arc<str>>, version: u64, body: impl Into<Bytes>) -> Self {
        Self {
            key: key.into(),
            version,
            body: body.into(),
            ttl: None,
            ephemeral: false,
            body_omitted: false,
        }
    }

    /// Limits how long the fact stays of use.
    #[must_use]
    pub fn with_ttl(mut self, life: Duration) -> Self {
        self.ttl = Some(life);
        self
    }

    /// Makes the fact one that is pushed but never repaired.
    #[must_use]
    pub fn ephemeral(mut self) -> Self {
        self.ephemeral = true;
        self
    }
}

impl From<message::Fact> for Fact {
    fn from(fact: message::Fact) -> Self {
        Self {
            key: fact.key.into(),
            version: fact.version,
            body: fact.body,
            ttl: (fact.ttl_ms > 0).then(|| Duration::from_millis(fact.ttl_ms)),
            ephemeral: fact.ephemeral,
            body_omitted: fact.body_omitted,
        }
    }
}

#[derive(Clone, Debug)]
struct Held {
    fact: Fact,
    expires: Option<Duration>,
}

/// All facts that a daemon holds.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    held: HashMap<Arc<str>, Held>,
    digest: u64,
}

/// Keys listed in one repair message.
const MOST_LISTED: usize = 64;
/// Largest body that goes into a datagram.
const MOST_INLINE: usize = 1_000;

impl Facts {
    /// Digest of the lasting facts; equal for equal holdings.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Number of facts held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no fact is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// One fact.
    pub fn get(&self, key: &str) -> Option<&Fact> {
        self.held.get(key).map(|held| &held.fact)
    }

    /// Takes a fact in; false if one at least as new is held.
    pub fn apply(&mut self, fact: Fact, now: Duration) -> bool {
        let known =
            self.held.get(&fact.key).map(|held| (held.fact.version, held.fact.body_omitted));
        let newer = known.is_none_or(|(version, body_omitted)| {
            fact.version > version
                || (fact.version == version && body_omitted && !fact.body_omitted)
        });
        if !newer {
            return false;
        }
        let expires = fact.ttl.map(|life| now + life);
        let key = fact.key.clone();
        if let Some(old) = self.held.remove(&key) {
            self.toggle(&old.fact);
        }
        self.toggle(&fact);
        self.held.insert(key, Held { fact, expires });
        true
    }

    /// Drops the facts that are no longer of use.
    pub fn expire(&mut self, now: Duration) {
        let mut gone = Vec::new();
        self.held.retain(|_, held| {
            let keep = held.expires.is_none_or(|at| now < at);
            if !keep {
                gone.push(held.fact.clone());
            }
            keep
        });
        gone.iter().for_each(|fact| self.toggle(fact));
    }

    fn toggle(&mut self, fact: &Fact) {
        if !fact.ephemeral {
            self.digest ^= mix(hash(&fact.key) ^ mix(fact.version));
        }
    }

    /// Keys and versions of the lasting facts, as many as fit one message.
    pub fn key_versions(&self) -> KeyVersions {
        let lasting = self.held.values().filter(|held| !held.fact.ephemeral).take(MOST_LISTED);
        let (keys, versions) =
            lasting.map(|held| (hash(&held.fact.key), held.fact.version)).unzip();
        KeyVersions { keys, versions }
    }

    /// Facts that a peer with `holdings` lacks, and those that it holds and this daemon lacks.
    pub fn compare(
        &self,
        theirs: &KeyVersions,
        now: Duration,
    ) -> (Vec<message::Fact>, KeyVersions) {
        let listed: HashMap<u64, u64> =
            theirs.keys.iter().copied().zip(theirs.versions.iter().copied()).collect();
        let complete = theirs.keys.len() < MOST_LISTED;
        let mut missing = Vec::new();
        let mut known: HashMap<u64, u64> = HashMap::new();
        for held in self.held.values().filter(|held| !held.fact.ephemeral) {
            let key = hash(&held.fact.key);
            known.insert(key, held.fact.version);
            let behind = listed.get(&key).map_or(complete, |version| *version < held.fact.version);
            if behind {
                missing.extend(self.export(&held.fact.key, now));
            }
        }
        let newer =
            listed.iter().filter(|(key, version)| known.get(key).is_none_or(|mine| mine < version));
        let (keys, versions) = newer.map(|(key, version)| (*key, *version)).unzip();
        (missing, KeyVersions { keys, versions })
    }

    /// The facts that a peer asks for.
    pub fn export_wanted(&self, wanted: &KeyVersions, now: Duration) -> Vec<message::Fact> {
        let keys = self.held.keys().filter(|key| wanted.keys.contains(&hash(key)));
        keys.filter_map(|key| self.export(key, now)).collect()
    }

    /// The facts that a peer fetches over a stream, with their bodies whatever their size.
    pub fn export_full(&self, wanted: &KeyVersions, now: Duration) -> Vec<message::Fact> {
        let mut facts = self.export_wanted(wanted, now);
        for fact in &mut facts {
            if let Some(held) = self.get(&fact.key).filter(|held| !held.body_omitted) {
                fact.body = held.body.clone();
                fact.body_omitted = false;
            }
        }
        facts
    }

    /// A fact as it is sent, with the life that it has left.
    pub fn export(&self, key: &str, now: Duration) -> Option<message::Fact> {
        let held = self.held.get(key)?;
        let left = held.expires.map(|at| at.saturating_sub(now));
        if left.is_some_and(|left| left.is_zero()) {
            return None;
        }
        let large = held.fact.body.len() > MOST_INLINE;
        Some(message::Fact {
            key: held.fact.key.to_string(),
            version: held.fact.version,
            body: if large { Bytes::new() } else { held.fact.body.clone() },
            ttl_ms: left.map_or(0, |left| (left.as_millis() as u64).max(1)),
            ephemeral: held.fact.ephemeral,
            body_omitted: large || held.fact.body_omitted,
        })
    }
}
