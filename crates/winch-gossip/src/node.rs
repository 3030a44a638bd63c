//! State machine of one daemon: membership, failure detection, facts.
//!
//! Inputs are the time, received messages, facts to publish and members from
//! the platform's list. The outcome of each input is a list of [`Effect`]s for
//! the embedder.

mod detect;
mod propagate;

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use winch_wire::message::{self, Body, Envelope, RevisionReport};

use crate::{
    facts::{Fact, Facts},
    member::{Member, Peer, State},
};

/// Intervals and limits of the protocol.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Time between two probes.
    pub probe_interval: Duration,
    /// Time without a reply to a probe after which indirect probes are sent.
    pub ack_timeout: Duration,
    /// Number of members that are asked to send an indirect probe.
    pub indirect_probes: usize,
    /// Probe intervals after which a suspected member counts as dead, multiplied by the decimal
    /// logarithm of the fleet size, but at least by 1.
    pub suspicion_multiplier: f64,
    /// Number of peers to which a new fact is pushed, or that this daemon informs when it leaves.
    pub fanout: usize,
    /// How many times an update about a member is sent, multiplied by the binary logarithm of the
    /// fleet size.
    pub retransmit_multiplier: f64,
    /// Upper limit of queued member updates in one message.
    pub max_updates: usize,
    /// How long dead members and those that left are kept.
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

/// An action for the embedder.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message to this address.
    Send(SocketAddr, Envelope),
    /// A member joined or changed its state.
    MemberChanged(Member),
    /// A new fact was received; an omitted body has to be fetched from this address.
    FactReceived(Fact, SocketAddr),
    /// The named peer reported its configuration revision in force.
    RevisionReported(Arc<str>, RevisionReport),
    /// The peer at this address requests the revision in force, with this `seq`.
    RevisionRequested(SocketAddr, u64),
    /// The named peer reported evidence about a version move.
    EvidenceReported(Arc<str>, message::Evidence),
}

/// The probe of this interval, until a reply arrives.
#[derive(Clone, Debug)]
struct PendingProbe {
    target: Arc<str>,
    seq: u64,
    sent_at: Duration,
    /// Whether indirect probes were requested.
    indirect_requested: bool,
}

/// A probe that this daemon sends on behalf of another.
#[derive(Clone, Debug)]
struct RelayedProbe {
    /// `seq` of the probe that this daemon sends.
    seq: u64,
    requester: SocketAddr,
    /// `seq` of the request, which the relayed reply carries.
    request_seq: u64,
    sent_at: Duration,
}

/// Gossip state of one daemon: the members and the facts that it holds.
#[derive(Debug)]
pub struct Node {
    options: Options,
    local: Member,
    peers: HashMap<Arc<str>, Peer>,
    /// Names of all peers in the sequence in which they are probed.
    probe_list: Vec<Arc<str>>,
    /// Index of the next name in `probe_list`.
    probe_index: usize,
    facts: Facts,
    pending: Option<PendingProbe>,
    relayed: Vec<RelayedProbe>,
    /// Time at which the next probe is due.
    next_probe: Duration,
    /// Time from which this daemon may send its versions to a peer again.
    next_sync: Duration,
    last_received: Option<Duration>,
    /// `seq` of the last probe.
    seq: u64,
    rng: SmallRng,
}

impl Node {
    /// Creates the state of the daemon `local` without peers.
    ///
    /// `seed` determines its random choices, among them the time of its first probe within the
    /// first interval.
    pub fn new(local: Member, options: Options, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let first_probe = options.probe_interval.mul_f64(rng.random::<f64>());
        Self {
            options,
            local,
            peers: HashMap::new(),
            probe_list: Vec::new(),
            probe_index: 0,
            facts: Facts::default(),
            pending: None,
            relayed: Vec::new(),
            next_probe: first_probe,
            next_sync: Duration::ZERO,
            last_received: None,
            seq: 0,
            rng,
        }
    }

    /// The entry of this daemon.
    pub fn local(&self) -> &Member {
        &self.local
    }

    /// All other members, including dead ones.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.peers.values().map(|peer| &peer.member)
    }

    /// Other members that are alive or suspected.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|member| member.state <= State::Suspect)
    }

    /// The facts held.
    pub fn facts(&self) -> &Facts {
        &self.facts
    }

    /// When the last message of a peer arrived; `None` before the first one.
    pub fn last_received(&self) -> Option<Duration> {
        self.last_received
    }

    /// Adds members of the platform's list that are not yet known.
    pub fn add_members(&mut self, members: impl IntoIterator<Item = Member>, now: Duration) {
        for member in members {
            if member.name != self.local.name && !self.peers.contains_key(&member.name) {
                // All daemons read the same list, so no updates are sent about its members.
                self.insert(member, 0, now);
            }
        }
    }

    /// Probes daemons of which only the address is known; each reply carries the entry of its
    /// sender.
    pub fn join(&mut self, addresses: &[SocketAddr]) -> Vec<Effect> {
        self.seq += 1;
        let body = Body::Ping(self.probe_body(self.seq, None));
        let others = addresses.iter().filter(|address| **address != self.local.address);
        others.map(|address| self.send(*address, body.clone())).collect()
    }

    /// Expires facts and runs the probes and timeouts that are due at `now`.
    ///
    /// Must be called at least ten times in a probe interval.
    pub fn tick(&mut self, now: Duration) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.facts.expire(now);
        self.relayed
            .retain(|probe| now.saturating_sub(probe.sent_at) < self.options.probe_interval * 2);
        self.request_indirect_probes(now, &mut effects);
        if now >= self.next_probe {
            self.suspect_unanswered(now, &mut effects);
            self.expire_members(now, &mut effects);
            self.send_probe(now, &mut effects);
            self.next_probe = (self.next_probe + self.options.probe_interval).max(now);
        }
        effects
    }

    /// Handles one authenticated message.
    pub fn receive(&mut self, from: SocketAddr, envelope: Envelope, now: Duration) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.last_received = Some(now);
        let name: Arc<str> = envelope.from.as_str().into();
        match envelope.body {
            Some(Body::Ping(probe)) => self.on_ping(from, &name, &probe, now, &mut effects),
            Some(Body::Ack(probe)) => self.on_ack(from, &name, &probe, now, &mut effects),
            Some(Body::PingRequest(request)) => {
                self.on_ping_request(from, &request, now, &mut effects);
            }
            Some(Body::Push(facts)) => {
                facts
                    .facts
                    .into_iter()
                    .for_each(|f| self.apply_fact(f.into(), from, now, &mut effects));
            }
            Some(Body::Sync(versions)) => self.on_sync(from, &versions, now, &mut effects),
            Some(Body::Want(wanted)) => {
                let facts = self.facts.export_wanted(&wanted, now);
                self.push(from, facts, &mut effects);
            }
            Some(Body::RevisionRequest(request)) => {
                effects.push(Effect::RevisionRequested(from, request.seq))
            }
            Some(Body::RevisionReport(report)) => {
                effects.push(Effect::RevisionReported(name, report))
            }
            Some(Body::Evidence(evidence)) => {
                effects.push(Effect::EvidenceReported(name, evidence))
            }
            // The body belongs to a later release.
            None => {}
        }
        effects
    }

    /// Announces to some peers that this daemon leaves.
    pub fn leave(&mut self) -> Vec<Effect> {
        self.local.state = State::Left;
        self.seq += 1;
        let seq = self.seq;
        let targets = self.sample(self.options.fanout, "");
        let body = Body::Ping(self.probe_body(seq, None));
        targets.into_iter().map(|to| self.send(to, body.clone())).collect()
    }

    /// Wraps `body` in an envelope from this daemon.
    pub fn envelope(&self, body: Body) -> Envelope {
        Envelope {
            from: self.local.name.to_string(),
            incarnation: self.local.incarnation,
            body: Some(body),
        }
    }

    fn send(&self, to: SocketAddr, body: Body) -> Effect {
        Effect::Send(to, self.envelope(body))
    }
}
