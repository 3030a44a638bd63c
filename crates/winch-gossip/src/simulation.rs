//! Many nodes in one process, joined by a network in memory with loss, delay
//! and partitions. For tests and measurements; the nodes are the real ones.

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

/// Bytes around each message: IP and UDP headers, version byte and keyed hash.
const OVERHEAD_BYTES: usize = 28 + 17;
const TICK: Duration = Duration::from_millis(100);

/// Conditions of the network.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Conditions {
    /// Part of the messages that is lost.
    pub loss: f64,
    /// Time that each message takes.
    pub delay: Duration,
}

impl Default for Conditions {
    fn default() -> Self {
        Self { loss: 0.0, delay: Duration::from_millis(1) }
    }
}

#[derive(Debug)]
struct Slot {
    node: Node,
    up: bool,
    paused: bool,
    group: u32,
    sent: u64,
    received: u64,
    inbox: Vec<(SocketAddr, Envelope)>,
    changes: Vec<Member>,
}

type Flight = (Reverse<(Duration, u64)>, usize, usize);

/// The network and all its nodes.
#[derive(Debug)]
pub struct Network {
    options: Options,
    conditions: Conditions,
    slots: Vec<Slot>,
    flights: BinaryHeap<Flight>,
    envelopes: Vec<Option<Envelope>>,
    free: Vec<usize>,
    order: u64,
    now: Duration,
    next_tick: Duration,
    random: SmallRng,
}

fn address(index: usize) -> SocketAddr {
    let [_, a, b, c] = u32::try_from(index).expect("fleets are small").to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, a, b, c), 1))
}

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
    /// `size` nodes that all know one another.
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
            slots: Vec::new(),
            flights: BinaryHeap::new(),
            envelopes: Vec::new(),
            free: Vec::new(),
            order: 0,
            now: Duration::from_secs(1),
            next_tick: Duration::from_secs(1),
            random: SmallRng::seed_from_u64(seed),
        };
        for index in 0..size {
            let mut node = Node::new(member(index, 1), options, seed ^ index as u64);
            node.add_members((0..size).map(|other| member(other, 1)), network.now);
            network.slots.push(Slot {
                node,
                up: true,
                paused: false,
                group: 0,
                sent: 0,
                received: 0,
                inbox: Vec::new(),
                changes: Vec::new(),
            });
        }
        network
    }

    /// The time in the network.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// One node.
    pub fn node(&self, index: usize) -> &Node {
        &self.slots[index].node
    }

    /// Number of nodes.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether there are no nodes.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Changes of members that a node saw so far.
    pub fn changes(&self, index: usize) -> &[Member] {
        &self.slots[index].changes
    }

    /// Bytes that a node sent and received, headers included.
    pub fn bytes(&self, index: usize) -> (u64, u64) {
        (self.slots[index].sent, self.slots[index].received)
    }

    /// Sets the conditions from now on.
    pub fn set_conditions(&mut self, conditions: Conditions) {
        self.conditions = conditions;
    }

    /// Puts a node into a partition; only nodes of one partition hear one another.
    pub fn set_partition(&mut self, index: usize, group: u32) {
        self.slots[index].group = group;
    }

    /// Stops a node for good.
    pub fn kill(&mut self, index: usize) {
        self.slots[index].up = false;
        self.slots[index].inbox.clear();
    }

    /// Freezes a node; what is sent to it waits.
    pub fn pause(&mut self, index: usize) {
        self.slots[index].paused = true;
    }

    /// Wakes a frozen node.
    pub fn resume(&mut self, index: usize) {
        self.slots[index].paused = false;
        for (from, envelope) in std::mem::take(&mut self.slots[index].inbox) {
            self.receive(index, from, envelope);
        }
    }

    /// Starts a node anew at the same address, knowing only `known` others.
    pub fn restart(&mut self, index: usize, known: usize) {
        let old = self.slots[index].node.local();
        let me =
            Member { incarnation: old.incarnation + 1_000, state: State::Alive, ..old.clone() };
        let seed = self.random.random();
        let mut node = Node::new(me, self.options, seed);
        let others = (0..self.slots.len()).filter(|other| *other != index).take(known);
        let members: Vec<Member> = others
            .map(|other| Member { incarnation: 0, ..self.slots[other].node.local().clone() })
            .collect();
        node.add_members(members, self.now);
        let slot = &mut self.slots[index];
        slot.node = node;
        slot.up = true;
        slot.paused = false;
        slot.inbox.clear();
    }

    /// Makes a fact known at one node.
    pub fn publish(&mut self, index: usize, fact: Fact) {
        let effects = self.slots[index].node.publish(fact, self.now);
        self.carry_out(index, effects);
    }

    /// The version of a fact that a node holds.
    pub fn version(&self, index: usize, key: &str) -> Option<u64> {
        self.slots[index].node.facts().get(key).map(|fact| fact.version)
    }

    /// How many nodes that are up hold at least this version of a fact.
    pub fn holders(&self, key: &str, version: u64) -> usize {
        let up = (0..self.slots.len()).filter(|index| self.slots[*index].up);
        up.filter(|index| self.version(*index, key).is_some_and(|held| held >= version)).count()
    }

    /// Number of nodes that are up.
    pub fn up(&self) -> usize {
        self.slots.iter().filter(|slot| slot.up).count()
    }

    /// Names of the members that a node takes as alive or suspect.
    pub fn alive(&self, index: usize) -> Vec<Arc<str>> {
        self.slots[index].node.alive().map(|member| member.name.clone()).collect()
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let arrival = self.flights.peek().map(|flight| flight.0.0.0);
            let next = arrival.map_or(self.next_tick, |at| at.min(self.next_tick));
            if next > end {
                self.now = end;
                return;
            }
            self.now = next;
            if arrival == Some(next) {
                self.arrive();
            } else {
                self.tick();
                self.next_tick += TICK;
            }
        }
    }

    fn tick(&mut self) {
        for index in 0..self.slots.len() {
            let slot = &mut self.slots[index];
            if slot.up && !slot.paused {
                let effects = slot.node.tick(self.now);
                self.carry_out(index, effects);
            }
        }
    }

    fn arrive(&mut self) {
        let Some((_, from, flight)) = self.flights.pop() else {
            return;
        };
        let (to, envelope) = (flight >> 32, flight & 0xffff_ffff);
        let Some(envelope) = self.envelopes[envelope].take().inspect(|_| self.free.push(envelope))
        else {
            return;
        };
        let (source, target) = (self.slots[from].group, &mut self.slots[to]);
        if !target.up || target.group != source {
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
        let effects = self.slots[index].node.receive(from, envelope, self.now);
        self.carry_out(index, effects);
    }

    fn carry_out(&mut self, from: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send(to, envelope) => self.send(from, index(to), envelope),
                Effect::MemberChanged(member) => self.slots[from].changes.push(member),
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, envelope: Envelope) {
        self.slots[from].sent += (envelope.encoded_len() + OVERHEAD_BYTES) as u64;
        if to >= self.slots.len() || self.random.random_bool(self.conditions.loss) {
            return;
        }
        self.order += 1;
        let place = self.free.pop().unwrap_or_else(|| {
            self.envelopes.push(None);
            self.envelopes.len() - 1
        });
        self.envelopes[place] = Some(envelope);
        let due = self.now + self.conditions.delay;
        self.flights.push((Reverse((due, self.order)), from, (to << 32) | place));
    }
}
