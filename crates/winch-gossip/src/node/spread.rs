//! Spread of facts: pushed once by everybody, repaired by digests.

use std::{net::SocketAddr, time::Duration};

use rand::Rng;
use winch_wire::message::{self, Body, KeyVersions};

use super::{Effect, Node};
use crate::{facts::Fact, member::State};

impl Node {
    pub(super) fn on_sync(
        &mut self,
        from: SocketAddr,
        holdings: &KeyVersions,
        now: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let (missing, newer) = self.facts.compare(holdings, now);
        self.push(from, missing, effects);
        if !newer.keys.is_empty() {
            effects.push(self.send(from, Body::Want(newer)));
        }
    }

    /// Starts a repair when a peer holds other facts, once a period at most.
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

    /// Makes a fact known to the fleet.
    pub fn publish(&mut self, fact: Fact, now: Duration) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.facts.apply(fact.clone(), now) {
            self.spread(&fact.key, None, now, &mut effects);
        }
        effects
    }

    /// Takes in a fact whose body was fetched; it was pushed on when it was first heard of.
    pub fn apply_fetched(&mut self, fact: Fact, from: SocketAddr, now: Duration) -> Vec<Effect> {
        let new = self.facts.apply(fact.clone(), now);
        new.then_some(Effect::FactReceived(fact, from)).into_iter().collect()
    }

    pub(super) fn learn(
        &mut self,
        fact: Fact,
        from: SocketAddr,
        now: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let key = fact.key.clone();
        if self.facts.apply(fact.clone(), now) {
            effects.push(Effect::FactReceived(fact, from));
            self.spread(&key, Some(from), now, effects);
        }
    }

    pub(super) fn spread(
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
        // One fact a datagram keeps each below the size that networks carry whole.
        for fact in facts {
            effects.push(self.send(to, Body::Push(message::Facts { facts: vec![fact] })));
        }
    }

    /// Addresses of random live members.
    pub(super) fn sample(&mut self, count: usize, except: &str) -> Vec<SocketAddr> {
        let mut picked = Vec::with_capacity(count);
        let size = self.order.len();
        // Few draws suffice while most members are alive.
        for _ in 0..count * 4 {
            if picked.len() >= count.min(size) || size == 0 {
                break;
            }
            let name = &self.order[self.random.random_range(0..size)];
            let member = &self.peers[name].member;
            let fit = member.state <= State::Suspect && &*member.name != except;
            if fit && !picked.contains(&member.address) {
                picked.push(member.address);
            }
        }
        picked
    }
}
