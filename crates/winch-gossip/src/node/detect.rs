//! Failure detection: probes, suspicion and refutation.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::{Rng, seq::SliceRandom};
use winch_wire::message::{Body, MemberUpdate, PingRequest, Probe};

use super::{Effect, Node, PendingProbe, RelayedProbe};
use crate::member::{Member, Peer, State};

/// One of this many probes may go to a dead member, so that healed partitions rejoin.
const DEAD_PROBE_EVERY: u64 = 10;

impl Node {
    /// Adds a peer; `sends` is how many times an update about it is sent.
    pub(super) fn insert(&mut self, member: Member, sends: u32, now: Duration) {
        let name = member.name.clone();
        self.peers.insert(name.clone(), Peer { member, since: now, sends_left: sends });
        // A random position keeps the probe lists of different daemons different.
        let at = self.rng.random_range(0..=self.probe_list.len());
        self.probe_list.insert(at, name);
    }

    /// How many times an update about a member is sent in a fleet of this size.
    pub(super) fn max_sends(&self) -> u32 {
        let size = (self.peers.len() + 2) as f64;
        (self.options.retransmit_multiplier * size.log2()).ceil() as u32
    }

    /// Sends the probe of this interval.
    pub(super) fn send_probe(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        self.seq += 1;
        let include_dead = self.seq.is_multiple_of(DEAD_PROBE_EVERY);
        let Some(target) = self.next_target(include_dead) else {
            return;
        };
        let address = self.peers[&target].member.address;
        let seq = self.seq;
        let body = Body::Ping(self.probe_body(seq, Some(&target)));
        effects.push(self.send(address, body));
        self.pending = Some(PendingProbe { target, seq, sent_at: now, indirect_requested: false });
    }

    /// The next member of the probe list that is alive or suspected or, if `include_dead` is set,
    /// dead. The list is shuffled at the start of each round.
    pub(super) fn next_target(&mut self, include_dead: bool) -> Option<Arc<str>> {
        for _ in 0..self.probe_list.len() {
            if self.probe_index >= self.probe_list.len() {
                self.probe_index = 0;
                self.probe_list.shuffle(&mut self.rng);
            }
            let name = self.probe_list[self.probe_index].clone();
            self.probe_index += 1;
            let state = self.peers[&name].member.state;
            if state <= State::Suspect || (include_dead && state == State::Dead) {
                return Some(name);
            }
        }
        // If all members are dead, one of them is probed so that a healed partition is noticed.
        self.probe_list.iter().find(|name| self.peers[*name].member.state == State::Dead).cloned()
    }

    /// Asks other members to probe the target if its reply is late.
    pub(super) fn request_indirect_probes(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        if pending.indirect_requested
            || now.saturating_sub(pending.sent_at) < self.options.ack_timeout
        {
            return;
        }
        pending.indirect_requested = true;
        let (seq, target) = (pending.seq, pending.target.clone());
        let Some(address) = self.peers.get(&target).map(|peer| peer.member.address) else {
            return;
        };
        for helper in self.sample(self.options.indirect_probes, &target) {
            let request = PingRequest { seq, target: address.to_string() };
            effects.push(self.send(helper, Body::PingRequest(request)));
        }
    }

    /// Suspects the target of the last probe if no reply has arrived.
    pub(super) fn suspect_unanswered(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        let member = self.peers.get(&pending.target).map(|peer| peer.member.clone());
        if let Some(member) = member.filter(|member| member.state == State::Alive) {
            self.apply_update(Member { state: State::Suspect, ..member }, now, effects);
        }
    }

    /// Declares members dead whose suspicion has lasted too long, and removes those that have been
    /// in the state dead or left for the retention time.
    pub(super) fn expire_members(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let log_size = ((self.peers.len() + 1) as f64).log10().max(1.0);
        let timeout =
            self.options.probe_interval.mul_f64(self.options.suspicion_multiplier * log_size);
        let dead: Vec<Member> = self
            .peers
            .values()
            .filter(|peer| peer.member.state == State::Suspect)
            .filter(|peer| now.saturating_sub(peer.since) >= timeout)
            .map(|peer| Member { state: State::Dead, ..peer.member.clone() })
            .collect();
        dead.into_iter().for_each(|member| self.apply_update(member, now, effects));
        let retention = self.options.dead_retention;
        let peers = &mut self.peers;
        self.probe_list.retain(|name| {
            let peer = &peers[name];
            let expired =
                peer.member.state >= State::Dead && now.saturating_sub(peer.since) >= retention;
            if expired {
                peers.remove(name);
            }
            !expired
        });
    }

    /// Applies an update about a member if it takes precedence over the current entry.
    pub(super) fn apply_update(
        &mut self,
        update: Member,
        now: Duration,
        effects: &mut Vec<Effect>,
    ) {
        if update.name == self.local.name {
            self.refute(&update);
            return;
        }
        let sends = self.max_sends();
        let Some(peer) = self.peers.get_mut(&update.name) else {
            if update.state <= State::Suspect {
                self.insert(update.clone(), sends, now);
                effects.push(Effect::MemberChanged(update));
            }
            return;
        };
        if !update.supersedes(&peer.member) {
            return;
        }
        let state_changed = update.state != peer.member.state;
        if state_changed || update.incarnation != peer.member.incarnation {
            peer.since = now;
        }
        peer.member = update.clone();
        peer.sends_left = sends;
        if state_changed {
            effects.push(Effect::MemberChanged(update));
        }
    }

    /// Raises the incarnation if an update wrongly reports this daemon as not alive.
    pub(super) fn refute(&mut self, update: &Member) {
        let is_wrong = update.state != State::Alive && self.local.state == State::Alive;
        if is_wrong && update.incarnation >= self.local.incarnation {
            self.local.incarnation = update.incarnation + 1;
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
        self.apply_updates(&probe.updates, now, effects);
        let body = Body::Ack(self.probe_body(probe.seq, Some(name)));
        effects.push(self.send(from, body));
        self.repair(from, probe.digest, now, effects);
    }

    /// Handles the reply to a probe. If another daemon requested the probe, a reply is relayed to
    /// that daemon.
    pub(super) fn on_ack(
        &mut self,
        from: SocketAddr,
        _name: &Arc<str>,
        probe: &Probe,
        now: Duration,
        effects: &mut Vec<Effect>,
    ) {
        self.apply_updates(&probe.updates, now, effects);
        if let Some(index) = self.relayed.iter().position(|relayed| relayed.seq == probe.seq) {
            let relayed = self.relayed.swap_remove(index);
            let body = Body::Ack(self.probe_body(relayed.request_seq, None));
            effects.push(self.send(relayed.requester, body));
            return;
        }
        if self.pending.as_ref().is_some_and(|pending| pending.seq == probe.seq) {
            self.pending = None;
        }
        self.repair(from, probe.digest, now, effects);
    }

    /// Probes the target on behalf of the daemon at `from`.
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
        self.relayed.push(RelayedProbe {
            seq,
            requester: from,
            request_seq: request.seq,
            sent_at: now,
        });
        let body = Body::Ping(self.probe_body(seq, None));
        effects.push(self.send(target, body));
    }

    pub(super) fn apply_updates(
        &mut self,
        updates: &[MemberUpdate],
        now: Duration,
        effects: &mut Vec<Effect>,
    ) {
        for update in updates {
            if let Ok(member) = Member::try_from(update) {
                self.apply_update(member, now, effects);
            }
        }
    }

    /// Builds a probe or a reply.
    ///
    /// It carries this daemon's entry, the receiver's entry unless that is alive,
    /// and the queued updates with the most sends left.
    pub(super) fn probe_body(&mut self, seq: u64, receiver: Option<&Arc<str>>) -> Probe {
        let mut updates = vec![MemberUpdate::from(&self.local)];
        // A suspected receiver needs the update to refute it.
        if let Some(peer) = receiver.and_then(|name| self.peers.get(name))
            && peer.member.state != State::Alive
        {
            updates.push(MemberUpdate::from(&peer.member));
        }
        let mut queued: Vec<&mut Peer> =
            self.peers.values_mut().filter(|p| p.sends_left > 0).collect();
        queued.sort_unstable_by(|a, b| {
            b.sends_left.cmp(&a.sends_left).then_with(|| a.member.name.cmp(&b.member.name))
        });
        for peer in queued.into_iter().take(self.options.max_updates) {
            peer.sends_left -= 1;
            updates.push(MemberUpdate::from(&peer.member));
        }
        Probe { seq, digest: self.facts.digest(), updates }
    }
}
