//! A simulated network of [`Node`]s in one process, with loss, delay and
//! partitions, for tests and measurements.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use prost::Message;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use winch_wire::message::Envelope;

use crate::{
    facts::Fact,
    member::{Member, State},
    node::{Effect, Node, Options},
};

/// Bytes added to each message: IP and UDP headers, version byte and keyed hash.
const OVERHEAD_BYTES: usize = 28 + 17;
const TICK: Duration = Duration::from_millis(100);

/// Loss and delay of the network.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Conditions {
    /// Probability that a message is lost, between 0 and 1.
    pub loss: f64,
    /// Time from sending to arrival of a message.
    pub delay: Duration,
}

impl Default for Conditions {
    fn default() -> Self {
        Self { loss: 0.0, delay: Duration::from_millis(1) }
    }
}

#[derive(Debug)]
struct Host {
    node: Node,
    up: bool,
    paused: bool,
    partition: u32,
    /// Bytes sent, including headers.
    sent: u64,
    /// Bytes received, including headers.
    received: u64,
    /// Messages that arrived while the node was paused.
    inbox: Vec<(SocketAddr, Envelope)>,
    /// Changes of other members that the node has reported.
    changes: Vec<Member>,
}

/// A message in transit: arrival time and sequence number, index of the sender, and the index
/// of the receiver in the upper 32 bits with that of the envelope in the lower 32 bits.
type Transit = (Reverse<(Duration, u64)>, usize, usize);

/// The network and its nodes, addressed by index.
#[derive(Debug)]
pub struct Network {
    options: Options,
    conditions: Conditions,
    hosts: Vec<Host>,
    in_transit: BinaryHeap<Transit>,
    /// Envelopes of the messages in transit.
    envelopes: Vec<Option<Envelope>>,
    /// Indices of `envelopes` that can be reused.
    free: Vec<usize>,
    last_seq: u64,
    now: Duration,
    next_tick: Duration,
    rng: SmallRng,
}

/// Address of a node: its index is the lower 24 bits of the IP address.
fn address(index: usize) -> SocketAddr {
    let [_, a, b, c] = u32::try_from(index).expect("index of a node fits in 32 bits").to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, a, b, c), 1))
}

/// Index of the node with an address, as [`address`] assigns them.
fn index(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => {
            let [_, a, b, c] = ip.octets();
            u32::from_be_bytes([0, a, b, c]) as usize
        }
        std::net::IpAddr::V6(_) => usize::MAX,
    }
}

impl Network {
    /// Creates a network of `size` nodes that all know one another.
    ///
    /// `seed` determines the losses and the random choices of the nodes.
    pub fn new(size: usize, options: Options, conditions: Conditions, seed: u64) -> Self {
        let member = |index: usize, incarnation| Member {
            name: format!("entry-{index:04}").into(),
            address: address(index),
            dc: format!("dc-{}", index % 18).into(),
            incarnation,
            state: State::Alive,
        };
        let mut network = Self {
            options,
            conditions,
            hosts: Vec::new(),
            in_transit: BinaryHeap::new(),
            envelopes: Vec::new(),
            free: Vec::new(),
            last_seq: 0,
            now: Duration::from_secs(1),
            next_tick: Duration::from_secs(1),
            rng: SmallRng::seed_from_u64(seed),
        };
        for index in 0..size {
            let mut node = Node::new(member(index, 1), options, seed ^ index as u64);
            node.add_members((0..size).map(|other| member(other, 1)), network.now);
            network.hosts.push(Host {
                node,
                up: true,
                paused: false,
                partition: 0,
                sent: 0,
                received: 0,
                inbox: Vec::new(),
                changes: Vec::new(),
            });
        }
        network
    }

    /// The simulated time.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// One node.
    pub fn node(&self, index: usize) -> &Node {
        &self.hosts[index].node
    }

    /// Number of nodes.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Whether there are no nodes.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Changes of other members that a node has reported so far.
    pub fn changes(&self, index: usize) -> &[Member] {
        &self.hosts[index].changes
    }

    /// Bytes that a node has sent and received, including headers.
    pub fn bytes(&self, index: usize) -> (u64, u64) {
        (self.hosts[index].sent, self.hosts[index].received)
    }

    /// Sets the conditions for messages that are sent from now on.
    pub fn set_conditions(&mut self, conditions: Conditions) {
        self.conditions = conditions;
    }

    /// Assigns a node to a partition; messages between partitions are lost.
    pub fn set_partition(&mut self, index: usize, partition: u32) {
        self.hosts[index].partition = partition;
    }

    /// Stops a node until it is restarted. Messages that arrive for it are lost.
    pub fn kill(&mut self, index: usize) {
        self.hosts[index].up = false;
        self.hosts[index].inbox.clear();
    }

    /// Pauses a node; messages to it are kept until it resumes.
    pub fn pause(&mut self, index: usize) {
        self.hosts[index].paused = true;
    }

    /// Resumes a paused node and delivers its messages.
    pub fn resume(&mut self, index: usize) {
        self.hosts[index].paused = false;
        for (from, envelope) in std::mem::take(&mut self.hosts[index].inbox) {
            self.receive(index, from, envelope);
        }
    }

    /// Restarts a node at the same address with a list of only `known` other members.
    pub fn restart(&mut self, index: usize, known: usize) {
        let old = self.hosts[index].node.local();
        let local =
            Member { incarnation: old.incarnation + 1_000, state: State::Alive, ..old.clone() };
        let seed = self.rng.random();
        let mut node = Node::new(local, self.options, seed);
        let others = (0..self.hosts.len()).filter(|other| *other != index).take(known);
        let members: Vec<Member> = others
            .map(|other| Member { incarnation: 0, ..self.hosts[other].node.local().clone() })
            .collect();
        node.add_members(members, self.now);
        let host = &mut self.hosts[index];
        host.node = node;
        host.up = true;
        host.paused = false;
        host.inbox.clear();
    }

    /// Publishes a fact at one node.
    pub fn publish(&mut self, index: usize, fact: Fact) {
        let effects = self.hosts[index].node.publish(fact, self.now);
        self.carry_out(index, effects);
    }

    /// The version of a fact that a node holds; `None` if it holds none with this key.
    pub fn version(&self, index: usize, key: &str) -> Option<u64> {
        self.hosts[index].node.facts().get(key).map(|fact| fact.version)
    }

    /// Number of running nodes that hold at least this version of a fact.
    pub fn holders(&self, key: &str, version: u64) -> usize {
        let up = (0..self.hosts.len()).filter(|index| self.hosts[*index].up);
        up.filter(|index| self.version(*index, key).is_some_and(|held| held >= version)).count()
    }

    /// Number of nodes that are up, including paused ones.
    pub fn up(&self) -> usize {
        self.hosts.iter().filter(|host| host.up).count()
    }

    /// Names of the other members that a node considers alive or suspected.
    pub fn alive(&self, index: usize) -> Vec<Arc<str>> {
        self.hosts[index].node.alive().map(|member| member.name.clone()).collect()
    }

    /// Advances the simulated time by `duration`.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        loop {
            let arrival = self.in_transit.peek().map(|transit| transit.0.0.0);
            let next = arrival.map_or(self.next_tick, |at| at.min(self.next_tick));
            if next > end {
                self.now = end;
                return;
            }
            self.now = next;
            if arrival == Some(next) {
                self.deliver_next();
            } else {
                self.tick();
                self.next_tick += TICK;
            }
        }
    }

    fn tick(&mut self) {
        for index in 0..self.hosts.len() {
            let host = &mut self.hosts[index];
            if host.up && !host.paused {
                let effects = host.node.tick(self.now);
                self.carry_out(index, effects);
            }
        }
    }

    fn deliver_next(&mut self) {
        let Some((_, from, packed)) = self.in_transit.pop() else {
            return;
        };
        let (to, envelope) = (packed >> 32, packed & 0xffff_ffff);
        let Some(envelope) = self.envelopes[envelope].take().inspect(|_| self.free.push(envelope))
        else {
            return;
        };
        let (partition, target) = (self.hosts[from].partition, &mut self.hosts[to]);
        if !target.up || target.partition != partition {
            return;
        }
        target.received += (envelope.encoded_len() + OVERHEAD_BYTES) as u64;
        if target.paused {
            target.inbox.push((address(from), envelope));
        } else {
            self.receive(to, address(from), envelope);
        }
    }

    fn receive(&mut self, index: usize, from: SocketAddr, envelope: Envelope) {
        let effects = self.hosts[index].node.receive(from, envelope, self.now);
        self.carry_out(index, effects);
    }

    fn carry_out(&mut self, from: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send(to, envelope) => self.send(from, index(to), envelope),
                Effect::MemberChanged(member) => self.hosts[from].changes.push(member),
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, envelope: Envelope) {
        self.hosts[from].sent += (envelope.encoded_len() + OVERHEAD_BYTES) as u64;
        if to >= self.hosts.len() || self.rng.random_bool(self.conditions.loss) {
            return;
        }
        self.last_seq += 1;
        let slot = self.free.pop().unwrap_or_else(|| {
            self.envelopes.push(None);
            self.envelopes.len() - 1
        });
        self.envelopes[slot] = Some(envelope);
        let due = self.now + self.conditions.delay;
        self.in_transit.push((Reverse((due, self.last_seq)), from, (to << 32) | slot));
    }
}
