//! Propagation of facts: each daemon pushes a new fact once, and daemons whose digests differ
//! exchange the facts that were lost.

use std::{net::SocketAddr, time::Duration};

use rand::Rng;
use winch_wire::message::{self, Body, KeyVersions};

use super::{Effect, Node};
use crate::{facts::Fact, member::State};

impl Node {
    /// Pushes the facts that the peer lacks and requests those that it has in a newer version.
    pub(super) fn on_sync(
        &mut self,
        from: SocketAddr,
        versions: &KeyVersions,
        now: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let (missing, newer) = self.facts.compare(versions, now);
        self.push(from, missing, effects);
        if !newer.keys.is_empty() {
            effects.push(self.send(from, Body::Want(newer)));
        }
    }

    /// Sends this daemon's versions to a peer whose digest differs, so that the peer pushes what
    /// this daemon lacks and requests what it lacks itself.
    ///
    /// This happens at most once in a probe interval.
    pub(super) fn repair(
        &mut self,
        from: SocketAddr,
        digest: u64,
        now: Duration,
        effects: &mut Vec<Effect>,
    ) {
        if digest == self.facts.digest() || now < self.next_sync {
            return;
        }
        self.next_sync = now + self.options.probe_interval;
        let body = Body::Sync(self.facts.key_versions());
        effects.push(self.send(from, body));
    }

    /// Applies a fact of this daemon and pushes it to some peers.
    pub fn publish(&mut self, fact: Fact, now: Duration) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.facts.apply(fact.clone(), now) {
            self.propagate(&fact.key, None, now, &mut effects);
        }
        effects
    }

    /// Applies a fact whose body was fetched.
    ///
    /// The fact is not pushed again: that was done when it arrived without its body.
    pub fn apply_fetched(&mut self, fact: Fact, from: SocketAddr, now: Duration) -> Vec<Effect> {
        let is_new = self.facts.apply(fact.clone(), now);
        is_new.then_some(Effect::FactReceived(fact, from)).into_iter().collect()
    }

    /// Applies a pushed fact and pushes it on if it is new.
    pub(super) fn apply_fact(
        &mut self,
        fact: Fact,
        from: SocketAddr,
        now: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let key = fact.key.clone();
        if self.facts.apply(fact.clone(), now) {
            effects.push(Effect::FactReceived(fact, from));
            self.propagate(&key, Some(from), now, effects);
        }
    }

    /// Pushes a fact to up to `fanout` random peers, excluding the one at `except`, which sent it.
    pub(super) fn propagate(
        &mut self,
        key: &str,
        except: Option<SocketAddr>,
        now: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let Some(fact) = self.facts.export(key, now) else {
            return;
        };
        let mut targets = self.sample(self.options.fanout + 1, "");
        targets.retain(|address| Some(*address) != except);
        targets.truncate(self.options.fanout);
        for address in targets {
            self.push(address, vec![fact.clone()], effects);
        }
    }

    pub(super) fn push(
        &self,
        to: SocketAddr,
        facts: Vec<message::Fact>,
        effects: &mut Vec<Effect>,
    ) {
        // One fact per datagram keeps the datagrams small enough to avoid fragmentation.
        for fact in facts {
            effects.push(self.send(to, Body::Push(message::Facts { facts: vec![fact] })));
        }
    }

    /// Addresses of up to `count` random members that are alive or suspected, without the
    /// member named `except`.
    pub(super) fn sample(&mut self, count: usize, except: &str) -> Vec<SocketAddr> {
        let mut picked = Vec::with_capacity(count);
        let size = self.probe_list.len();
        // The number of draws is bounded; it suffices while most members are alive.
        for _ in 0..count * 4 {
            if picked.len() >= count.min(size) || size == 0 {
                break;
            }
            let name = &self.probe_list[self.rng.random_range(0..size)];
            let member = &self.peers[name].member;
            let is_eligible = member.state <= State::Suspect && &*member.name != except;
            if is_eligible && !picked.contains(&member.address) {
                picked.push(member.address);
            }
        }
        picked
    }
}
