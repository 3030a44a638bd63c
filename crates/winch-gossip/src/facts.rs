//! Versioned facts and the set of them that a daemon holds.
//!
//! For each key the highest version replaces all lower ones. Two daemons that
//! hold the same lasting facts have the same digest; daemons whose digests
//! differ exchange the versions they hold and then the facts that are missing.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bytes::Bytes;
use winch_hash::{mix, name as hash};
use winch_wire::message::{self, KeyVersions};

/// A versioned statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fact {
    /// Key of the statement.
    pub key: Arc<str>,
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Content; empty if [`Self::body_omitted`] is set.
    pub body: Bytes,
    /// Lifetime from the moment it is applied; `None` if it never expires.
    pub ttl: Option<Duration>,
    /// Whether it is only pushed and not part of the repair by digests.
    pub ephemeral: bool,
    /// Whether the body is too large for a datagram and must be fetched.
    pub body_omitted: bool,
}

impl Fact {
    /// A fact that never expires and takes part in the repair by digests.
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

    /// Limits the lifetime of the fact.
    #[must_use]
    pub fn with_ttl(mut self, ttl: Duration) -> Self {
        self.ttl = Some(ttl);
        self
    }

    /// Excludes the fact from the digest and from repair: it is only pushed.
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
struct Entry {
    fact: Fact,
    expires_at: Option<Duration>,
}

/// All facts that a daemon holds.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    entries: HashMap<Arc<str>, Entry>,
    digest: u64,
}

/// Upper limit of the keys listed in one [`KeyVersions`] message.
const MAX_LISTED_KEYS: usize = 64;
/// Largest body that is sent in a datagram; a larger one is fetched over a stream.
const MAX_INLINE_BYTES: usize = 1_000;

impl Facts {
    /// Digest of the keys and versions of the facts that are not ephemeral.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Number of facts held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no fact is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The fact with this key; `None` if none is held.
    pub fn get(&self, key: &str) -> Option<&Fact> {
        self.entries.get(key).map(|entry| &entry.fact)
    }

    /// Applies a fact; returns false if the version held is at least as high.
    ///
    /// A fact with its body replaces one of the same version without it.
    pub fn apply(&mut self, fact: Fact, now: Duration) -> bool {
        let held =
            self.entries.get(&fact.key).map(|entry| (entry.fact.version, entry.fact.body_omitted));
        let is_newer = held.is_none_or(|(version, body_omitted)| {
            fact.version > version
                || (fact.version == version && body_omitted && !fact.body_omitted)
        });
        if !is_newer {
            return false;
        }
        let expires_at = fact.ttl.map(|ttl| now + ttl);
        let key = fact.key.clone();
        if let Some(old) = self.entries.remove(&key) {
            self.toggle_in_digest(&old.fact);
        }
        self.toggle_in_digest(&fact);
        self.entries.insert(key, Entry { fact, expires_at });
        true
    }

    /// Removes the facts whose lifetime has ended at `now`.
    pub fn expire(&mut self, now: Duration) {
        let mut expired = Vec::new();
        self.entries.retain(|_, entry| {
            let keep = entry.expires_at.is_none_or(|at| now < at);
            if !keep {
                expired.push(entry.fact.clone());
            }
            keep
        });
        expired.iter().for_each(|fact| self.toggle_in_digest(fact));
    }

    /// Adds a fact to the digest, or removes one that is in it.
    fn toggle_in_digest(&mut self, fact: &Fact) {
        if !fact.ephemeral {
            self.digest ^= mix(hash(&fact.key) ^ mix(fact.version));
        }
    }

    /// Key hashes and versions of the facts that are not ephemeral, up to the limit of a message.
    pub fn key_versions(&self) -> KeyVersions {
        let lasting =
            self.entries.values().filter(|entry| !entry.fact.ephemeral).take(MAX_LISTED_KEYS);
        let (keys, versions) =
            lasting.map(|entry| (hash(&entry.fact.key), entry.fact.version)).unzip();
        KeyVersions { keys, versions }
    }

    /// Compares with the versions that a peer holds.
    ///
    /// Returns the facts that the peer lacks or has in a lower version, and the
    /// versions that this daemon lacks. A key that is absent from a full list
    /// counts as held by the peer, as the list may be truncated.
    pub fn compare(
        &self,
        theirs: &KeyVersions,
        now: Duration,
    ) -> (Vec<message::Fact>, KeyVersions) {
        let listed: HashMap<u64, u64> =
            theirs.keys.iter().copied().zip(theirs.versions.iter().copied()).collect();
        let is_complete = theirs.keys.len() < MAX_LISTED_KEYS;
        let mut missing = Vec::new();
        let mut own: HashMap<u64, u64> = HashMap::new();
        for Entry { fact, .. } in self.entries.values().filter(|entry| !entry.fact.ephemeral) {
            let key = hash(&fact.key);
            own.insert(key, fact.version);
            let peer_lacks =
                listed.get(&key).map_or(is_complete, |version| *version < fact.version);
            if peer_lacks {
                missing.extend(self.export(&fact.key, now));
            }
        }
        let newer =
            listed.iter().filter(|(key, version)| own.get(key).is_none_or(|held| held < version));
        let (keys, versions) = newer.map(|(key, version)| (*key, *version)).unzip();
        (missing, KeyVersions { keys, versions })
    }

    /// The facts that a peer requests, in the form for datagrams: large bodies are omitted.
    pub fn export_wanted(&self, wanted: &KeyVersions, now: Duration) -> Vec<message::Fact> {
        let keys = self.entries.keys().filter(|key| wanted.keys.contains(&hash(key)));
        keys.filter_map(|key| self.export(key, now)).collect()
    }

    /// The facts that a peer fetches over a stream, with bodies of any size.
    pub fn export_full(&self, wanted: &KeyVersions, now: Duration) -> Vec<message::Fact> {
        let mut facts = self.export_wanted(wanted, now);
        for fact in &mut facts {
            if let Some(own) = self.get(&fact.key).filter(|own| !own.body_omitted) {
                fact.body = own.body.clone();
                fact.body_omitted = false;
            }
        }
        facts
    }

    /// A fact in the form for datagrams, with its remaining lifetime; a large body is omitted.
    ///
    /// `None` if the key is absent or its fact has expired.
    pub fn export(&self, key: &str, now: Duration) -> Option<message::Fact> {
        let Entry { fact, expires_at } = self.entries.get(key)?;
        let remaining = expires_at.map(|at| at.saturating_sub(now));
        if remaining.is_some_and(|remaining| remaining.is_zero()) {
            return None;
        }
        let is_large = fact.body.len() > MAX_INLINE_BYTES;
        Some(message::Fact {
            key: fact.key.to_string(),
            version: fact.version,
            body: if is_large { Bytes::new() } else { fact.body.clone() },
            ttl_ms: remaining.map_or(0, |remaining| (remaining.as_millis() as u64).max(1)),
            ephemeral: fact.ephemeral,
            body_omitted: is_large || fact.body_omitted,
        })
    }
}
