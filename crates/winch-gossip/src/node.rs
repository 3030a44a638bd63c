//! The state machine of one daemon among its peers.

mod detect;
mod spread;

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use winch_wire::message::{self, Body, Envelope, RevisionReport};

use crate::{
    facts::{Fact, Facts},
    member::{Member, Peer, State},
};

/// Timing and fan-out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Time between two probes.
    pub probe_interval: Duration,
    /// Time after which a probe without an answer is tried through others.
    pub ack_timeout: Duration,
    /// Others that probe on a daemon's behalf.
    pub indirect_probes: usize,
    /// Periods of suspicion for each decimal digit of the fleet's size.
    pub suspicion_multiplier: f64,
    /// Peers that a new fact is pushed to.
    pub fanout: usize,
    /// How often news about a member is sent, times the logarithm of the fleet's size.
    pub retransmit_multiplier: f64,
    /// News about members in one message.
    pub max_updates: usize,
    /// How long dead members are remembered.
    pub dead_retention: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_secs(1),
            ack_timeout: Duration::from_millis(300),
            indirect_probes: 3,
            suspicion_multiplier: 4.0,
            fanout: 4,
            retransmit_multiplier: 2.0,
            max_updates: 6,
            dead_retention: Duration::from_secs(600),
        }
    }
}

/// What the embedder has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message.
    Send(SocketAddr, Envelope),
    /// A member changed state.
    MemberChanged(Member),
    /// A fact is new; its body may be left out and has to be fetched from this address.
    FactReceived(Fact, SocketAddr),
    /// A peer told its revision in force.
    RevisionReported(Arc<str>, RevisionReport),
    /// A peer asks for the revision in force.
    RevisionRequested(SocketAddr, u64),
    /// A peer reports evidence about a move.
    EvidenceReported(Arc<str>, message::Evidence),
}

#[derive(Clone, Debug)]
struct Pending {
    target: Arc<str>,
    seq: u64,
    sent: Duration,
    indirect: bool,
}

#[derive(Clone, Debug)]
struct Relay {
    seq: u64,
    asker: SocketAddr,
    asked_seq: u64,
    since: Duration,
}

/// One daemon among its peers.
#[derive(Debug)]
pub struct Node {
    options: Options,
    me: Member,
    peers: HashMap<Arc<str>, Peer>,
    order: Vec<Arc<str>>,
    cursor: usize,
    facts: Facts,
    pending: Option<Pending>,
    relays: Vec<Relay>,
    next_probe: Duration,
    next_sync: Duration,
    heard: Option<Duration>,
    seq: u64,
    random: SmallRng,
}

impl Node {
    /// A daemon that knows nobody yet.
    pub fn new(me: Member, options: Options, seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let offset = options.probe_interval.mul_f64(random.random::<f64>());
        Self {
            options,
            me,
            peers: HashMap::new(),
            order: Vec::new(),
            cursor: 0,
            facts: Facts::default(),
            pending: None,
            relays: Vec::new(),
            next_probe: offset,
            next_sync: Duration::ZERO,
            heard: None,
            seq: 0,
            random,
        }
    }

    /// This daemon as others see it.
    pub fn local(&self) -> &Member {
        &self.me
    }

    /// All other members, dead ones included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.peers.values().map(|peer| &peer.member)
    }

    /// Members that are alive or only suspected.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|member| member.state <= State::Suspect)
    }

    /// The facts held.
    pub fn facts(&self) -> &Facts {
        &self.facts
    }

    /// When any peer was last heard.
    pub fn last_received(&self) -> Option<Duration> {
        self.heard
    }

    /// Takes in members from the platform's list, as far as they are not known.
    pub fn add_members(&mut self, members: impl IntoIterator<Item = Member>, now: Duration) {
        for member in members {
            if member.name != self.me.name && !self.peers.contains_key(&member.name) {
                // Everybody reads the same list, so its members are no news.
                self.insert(member, 0, now);
            }
        }
    }

    /// Greets daemons of which only the address is known; their answers name them.
    pub fn join(&mut self, addresses: &[SocketAddr]) -> Vec<Effect> {
        self.seq += 1;
        let body = Body::Ping(self.probe_body(self.seq, None));
        let others = addresses.iter().filter(|address| **address != self.me.address);
        others.map(|address| self.send(*address, body.clone())).collect()
    }

    /// Does what is due at `now`. Call it at least ten times a period.
    pub fn tick(&mut self, now: Duration) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.facts.expire(now);
        self.relays
            .retain(|relay| now.saturating_sub(relay.since) < self.options.probe_interval * 2);
        self.check_pending(now, &mut effects);
        if now >= self.next_probe {
            self.fail_pending(now, &mut effects);
            self.end_suspicions(now, &mut effects);
            self.probe(now, &mut effects);
            self.next_probe = (self.next_probe + self.options.probe_interval).max(now);
        }
        effects
    }

    /// Takes in one authentic message.
    pub fn receive(&mut self, from: SocketAddr, envelope: Envelope, now: Duration) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.heard = Some(now);
        let name: Arc<str> = envelope.from.as_str().into();
        match envelope.body {
            Some(Body::Ping(probe)) => self.on_ping(from, &name, &probe, now, &mut effects),
            Some(Body::Ack(probe)) => self.on_ack(from, &name, &probe, now, &mut effects),
            Some(Body::PingRequest(request)) => {
                self.on_ping_request(from, &request, now, &mut effects);
            }
            Some(Body::Push(facts)) => {
                facts.facts.into_iter().for_each(|f| self.learn(f.into(), from, now, &mut effects));
            }
            Some(Body::Sync(holdings)) => self.on_sync(from, &holdings, now, &mut effects),
            Some(Body::Want(wanted)) => {
                let facts = self.facts.export_wanted(&wanted, now);
                self.push(from, facts, &mut effects);
            }
            Some(Body::RevisionRequest(ask)) => {
                effects.push(Effect::RevisionRequested(from, ask.seq))
            }
            Some(Body::RevisionReport(told)) => effects.push(Effect::RevisionReported(name, told)),
            Some(Body::Evidence(evidence)) => {
                effects.push(Effect::EvidenceReported(name, evidence))
            }
            // A body of a later release.
            None => {}
        }
        effects
    }

    /// Tells peers that this daemon leaves.
    pub fn leave(&mut self) -> Vec<Effect> {
        self.me.state = State::Left;
        self.seq += 1;
        let seq = self.seq;
        let targets = self.sample(self.options.fanout, "");
        let body = Body::Ping(self.probe_body(seq, None));
        targets.into_iter().map(|to| self.send(to, body.clone())).collect()
    }

    /// A message from this daemon.
    pub fn envelope(&self, body: Body) -> Envelope {
        Envelope {
            from: self.me.name.to_string(),
            incarnation: self.me.incarnation,
            body: Some(body),
        }
    }

    fn send(&self, to: SocketAddr, body: Body) -> Effect {
        Effect::Send(to, self.envelope(body))
    }
}
