//! Failure detection: probes, suspicion and refutation.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::{Rng, seq::SliceRandom};
use winch_wire::message::{Body, MemberUpdate, PingRequest, Probe};

use super::{Effect, Node, Pending, Relay};
use crate::member::{Member, Peer, State};

/// Every so many probes one goes to a dead member, so that partitions heal.
const DEAD_PROBE_EVERY: u64 = 10;

impl Node {
    pub(super) fn insert(&mut self, member: Member, sends: u32, now: Duration) {
        let name = member.name.clone();
        self.peers.insert(name.clone(), Peer { member, since: now, sends });
        // A random place keeps the rounds of different daemons apart.
        let at = self.random.random_range(0..=self.order.len());
        self.order.insert(at, name);
    }

    pub(super) fn sends(&self) -> u32 {
        let size = (self.peers.len() + 2) as f64;
        (self.options.retransmit_multiplier * size.log2()).ceil() as u32
    }

    pub(super) fn probe(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        self.seq += 1;
        let dead = self.seq.is_multiple_of(DEAD_PROBE_EVERY);
        let Some(target) = self.next_target(dead) else {
            return;
        };
        let address = self.peers[&target].member.address;
        let seq = self.seq;
        let body = Body::Ping(self.probe_body(seq, Some(&target)));
        effects.push(self.send(address, body));
        self.pending = Some(Pending { target, seq, sent: now, indirect: false });
    }

    /// The next member of this round; a new round is shuffled.
    pub(super) fn next_target(&mut self, dead: bool) -> Option<Arc<str>> {
        for _ in 0..self.order.len() {
            if self.cursor >= self.order.len() {
                self.cursor = 0;
                self.order.shuffle(&mut self.random);
            }
            let name = self.order[self.cursor].clone();
            self.cursor += 1;
            let state = self.peers[&name].member.state;
            if state <= State::Suspect || (dead && state == State::Dead) {
                return Some(name);
            }
        }
        // With everybody dead the way back is still tried.
        self.order.iter().find(|name| self.peers[*name].member.state == State::Dead).cloned()
    }

    pub(super) fn check_pending(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        if pending.indirect || now.saturating_sub(pending.sent) < self.options.ack_timeout {
            return;
        }
        pending.indirect = true;
        let (seq, target) = (pending.seq, pending.target.clone());
        let Some(address) = self.peers.get(&target).map(|peer| peer.member.address) else {
            return;
        };
        for helper in self.sample(self.options.indirect_probes, &target) {
            let request = PingRequest { seq, target: address.to_string() };
            effects.push(self.send(helper, Body::PingRequest(request)));
        }
    }

    pub(super) fn fail_pending(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        let member = self.peers.get(&pending.target).map(|peer| peer.member.clone());
        if let Some(member) = member.filter(|member| member.state == State::Alive) {
            self.accept(Member { state: State::Suspect, ..member }, now, effects);
        }
    }

    pub(super) fn end_suspicions(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let digits = ((self.peers.len() + 1) as f64).log10().max(1.0);
        let limit = self.options.probe_interval.mul_f64(self.options.suspicion_multiplier * digits);
        let dead: Vec<Member> = self
            .peers
            .values()
            .filter(|peer| peer.member.state == State::Suspect)
            .filter(|peer| now.saturating_sub(peer.since) >= limit)
            .map(|peer| Member { state: State::Dead, ..peer.member.clone() })
            .collect();
        dead.into_iter().for_each(|member| self.accept(member, now, effects));
        let memory = self.options.dead_retention;
        let peers = &mut self.peers;
        self.order.retain(|name| {
            let peer = &peers[name];
            let gone = peer.member.state >= State::Dead && now.saturating_sub(peer.since) >= memory;
            if gone {
                peers.remove(name);
            }
            !gone
        });
    }

    /// Takes in news about a member if it is newer than what is known.
    pub(super) fn accept(&mut self, news: Member, now: Duration, effects: &mut Vec<Effect>) {
        if news.name == self.me.name {
            self.refute(&news);
            return;
        }
        let sends = self.sends();
        let Some(peer) = self.peers.get_mut(&news.name) else {
            if news.state <= State::Suspect {
                self.insert(news.clone(), sends, now);
                effects.push(Effect::MemberChanged(news));
            }
            return;
        };
        if !news.supersedes(&peer.member) {
            return;
        }
        let changed = news.state != peer.member.state;
        if changed || news.incarnation != peer.member.incarnation {
            peer.since = now;
        }
        peer.member = news.clone();
        peer.sends = sends;
        if changed {
            effects.push(Effect::MemberChanged(news));
        }
    }

    /// Answers wrong news about this daemon with a higher incarnation.
    pub(super) fn refute(&mut self, news: &Member) {
        let wrong = news.state != State::Alive && self.me.state == State::Alive;
        if wrong && news.incarnation >= self.me.incarnation {
            self.me.incarnation = news.incarnation + 1;
        }
    }

    pub(super) fn on_ping(
        &mut self,
        from: SocketAddr,
        name: &Arc<str>,
        probe: &Probe,
        now: Duration,
        effects: &mut Vec<Effect>,
    ) {
        self.take_updates(&probe.updates, now, effects);
        let body = Body::Ack(self.probe_body(probe.seq, Some(name)));
        effects.push(self.send(from, body));
        self.repair(from, probe.digest, now, effects);
    }

    pub(super) fn on_ack(
        &mut self,
        from: SocketAddr,
        _name: &Arc<str>,
        probe: &Probe,
        now: Duration,
        effects: &mut Vec<Effect>,
    ) {
        self.take_updates(&probe.updates, now, effects);
        if let Some(at) = self.relays.iter().position(|relay| relay.seq == probe.seq) {
            let relay = self.relays.swap_remove(at);
            let body = Body::Ack(self.probe_body(relay.asked_seq, None));
            effects.push(self.send(relay.asker, body));
            return;
        }
        if self.pending.as_ref().is_some_and(|pending| pending.seq == probe.seq) {
            self.pending = None;
        }
        self.repair(from, probe.digest, now, effects);
    }

    pub(super) fn on_ping_request(
        &mut self,
        from: SocketAddr,
        request: &PingRequest,
        now: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let Ok(target) = request.target.parse() else {
            return;
        };
        self.seq += 1;
        let seq = self.seq;
        self.relays.push(Relay { seq, asker: from, asked_seq: request.seq, since: now });
        let body = Body::Ping(self.probe_body(seq, None));
        effects.push(self.send(target, body));
    }

    pub(super) fn take_updates(
        &mut self,
        updates: &[MemberUpdate],
        now: Duration,
        effects: &mut Vec<Effect>,
    ) {
        for update in updates {
            if let Ok(member) = Member::try_from(update) {
                self.accept(member, now, effects);
            }
        }
    }

    /// A probe with the news that were sent least often, its receiver's own first.
    pub(super) fn probe_body(&mut self, seq: u64, receiver: Option<&Arc<str>>) -> Probe {
        let mut updates = vec![MemberUpdate::from(&self.me)];
        // A suspected receiver must hear of it, so that it can refute.
        if let Some(peer) = receiver.and_then(|name| self.peers.get(name))
            && peer.member.state != State::Alive
        {
            updates.push(MemberUpdate::from(&peer.member));
        }
        let mut hot: Vec<&mut Peer> = self.peers.values_mut().filter(|p| p.sends > 0).collect();
        hot.sort_unstable_by(|a, b| {
            b.sends.cmp(&a.sends).then_with(|| a.member.name.cmp(&b.member.name))
        });
        for peer in hot.into_iter().take(self.options.max_updates) {
            peer.sends -= 1;
            updates.push(MemberUpdate::from(&peer.member));
        }
        Probe { seq, digest: self.facts.digest(), updates }
    }
}
