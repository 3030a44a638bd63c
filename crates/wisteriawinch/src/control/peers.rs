//! Communication with other daemons: gossip over datagrams, large facts over streams.
//!
//! The [`Link`] actor owns the gossip node. It receives ticks, datagrams and
//! messages from other tasks of the daemon, and carries out the node's effects.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
};

use bytes::Bytes;
use tokio::{
    net::{TcpListener, UdpSocket},
    time::{MissedTickBehavior, interval, timeout},
};
use winch_gossip::{
    facts::Fact,
    member::{Member, State},
    node::{self, Effect, Node},
};
use winch_wire::{
    codec::{Key, decode, encode},
    message::{Body, Envelope, Evidence, Facts, KeyVersions, RevisionReport, RevisionRequest},
};
use xtra::prelude::*;

use super::{
    facts,
    fetch::{FETCH_TIMEOUT, fetch, request_for, serve},
    supervisor::Child,
};
use crate::{counter, emit, prelude::*};

const TICK: Duration = Duration::from_millis(100);
const MAX_DATAGRAM_BYTES: usize = 65_535;

/// Actor that owns the gossip node and its socket.
#[derive(Debug, xtra::Actor)]
pub struct Link {
    fleet: Arc<Fleet>,
    node: Node,
    socket: Arc<UdpSocket>,
    key: Key,
    /// Highest revision in force that each peer has reported.
    confirmed: HashMap<Name, u64>,
    /// `seq` of the last revision request.
    last_seq: u64,
    /// Address of this actor, for the tasks that it starts.
    address: WeakAddress,
}

type WeakAddress = xtra::WeakAddress<Link>;

/// Runs the probes and timeouts of the gossip node that are due, and contacts the seeds while no
/// peer is alive or suspected.
#[derive(Clone, Copy, Debug)]
pub struct Tick;

/// A received datagram and its source.
#[derive(Clone, Debug)]
pub struct Datagram(pub Bytes, pub SocketAddr);

/// Applies a fact on this daemon and propagates it to the fleet.
#[derive(Clone, Debug)]
pub struct Publish(pub Fact);

/// A fact whose body was fetched from this address.
#[derive(Clone, Debug)]
pub struct Fetched(pub Fact, pub SocketAddr);

/// Adds members from the platform's list.
#[derive(Clone, Debug)]
pub struct AddMembers(pub Vec<Member>);

/// Returns all other members, including dead ones.
#[derive(Clone, Copy, Debug)]
pub struct Members;

/// Returns facts with bodies of any size, selected by the hashes of their keys.
#[derive(Clone, Debug)]
pub struct FullFacts(pub KeyVersions);

/// Returns the names of the alive or suspected peers that have not confirmed a revision.
///
/// Each of them is sent a request for its revision in force.
#[derive(Clone, Copy, Debug)]
pub struct Confirm {
    /// The revision that has to be in force at the peers.
    pub revision: u64,
}

/// Sends evidence to the daemon with this name, the holder of a move's lease.
#[derive(Clone, Debug)]
pub struct SendEvidence(pub Name, pub Evidence);

/// Announces to peers that this daemon leaves.
#[derive(Clone, Copy, Debug)]
pub struct Leave;

impl Link {
    async fn carry_out(&mut self, effects: Vec<Effect>) {
        let now = self.fleet.now();
        if let Some(at) = self.node.last_received() {
            self.fleet.record_peer_contact(at);
        }
        for effect in effects {
            match effect {
                Effect::Send(to, envelope) => self.send(to, &envelope).await,
                Effect::MemberChanged(member) => self.report_change(&member),
                Effect::FactReceived(fact, from) if fact.body_omitted => self.fetch(fact, from),
                Effect::FactReceived(fact, _) => facts::apply(&self.fleet, &fact, now),
                Effect::RevisionRequested(from, seq) => {
                    let revision = self.fleet.snapshot.load().revision();
                    let report =
                        self.node.envelope(Body::RevisionReport(RevisionReport { seq, revision }));
                    self.send(from, &report).await;
                }
                Effect::RevisionReported(name, report) => {
                    let confirmed = self.confirmed.entry(name).or_default();
                    *confirmed = report.revision.max(*confirmed);
                }
                Effect::EvidenceReported(name, evidence) => {
                    facts::apply_evidence(&self.fleet, name, &evidence)
                }
            }
        }
    }

    async fn send(&self, to: SocketAddr, envelope: &Envelope) {
        let frame = encode(envelope, &self.key);
        counter::peer_bytes("sent", frame.len());
        // A datagram that cannot be sent is treated like one that was lost.
        let _ = self.socket.send_to(&frame, to).await;
    }

    /// Updates the number of peers that are alive or suspected, and logs the new state of a member.
    fn report_change(&self, member: &Member) {
        let alive = self.node.alive().count();
        counter::peers(alive);
        self.fleet.set_alive_peers(alive);
        emit!(
            Event::PeerStateChanged,
            peer = member.name,
            state = format!("{:?}", member.state),
            incarnation = member.incarnation
        );
    }

    /// Fetches the body of a large fact from the peer that sent the fact, in a separate task.
    fn fetch(&self, fact: Fact, from: SocketAddr) {
        let (key, address) = (self.key.clone(), self.address.clone());
        let envelope = self.node.envelope(Body::Want(request_for(&fact)));
        let fleet = self.fleet.clone();
        self.fleet.work.spawn(async move {
            let fetched = timeout(FETCH_TIMEOUT, fetch(from, envelope, key)).await;
            match fetched.ok().flatten() {
                Some(fact) => {
                    if let Some(address) = address.try_upgrade() {
                        let _ = address.send(Fetched(fact, from)).await;
                    }
                }
                // A configuration change can also be read from the table or from other peers.
                None => fleet.poll_config(fact.version),
            }
        });
    }
}

impl Handler<Tick> for Link {
    type Return = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self>) {
        let mut effects = self.node.tick(self.fleet.now());
        if self.node.alive().next().is_none() {
            effects.extend(self.node.join(&self.fleet.settings.seeds));
        }
        self.carry_out(effects).await;
    }
}

impl Handler<Datagram> for Link {
    type Return = ();

    async fn handle(&mut self, datagram: Datagram, _: &mut Context<Self>) {
        counter::peer_bytes("received", datagram.0.len());
        match decode(datagram.0, &self.key) {
            Ok(envelope) => {
                let effects = self.node.receive(datagram.1, envelope, self.fleet.now());
                self.carry_out(effects).await;
            }
            Err(error) => counter::frame_refused(error.reason()),
        }
    }
}

impl Handler<Publish> for Link {
    type Return = ();

    async fn handle(&mut self, publish: Publish, _: &mut Context<Self>) {
        let now = self.fleet.now();
        facts::apply(&self.fleet, &publish.0, now);
        let effects = self.node.publish(publish.0, now);
        self.carry_out(effects).await;
    }
}

impl Handler<Fetched> for Link {
    type Return = ();

    async fn handle(&mut self, fetched: Fetched, _: &mut Context<Self>) {
        let effects = self.node.apply_fetched(fetched.0, fetched.1, self.fleet.now());
        self.carry_out(effects).await;
    }
}

impl Handler<AddMembers> for Link {
    type Return = ();

    async fn handle(&mut self, message: AddMembers, _: &mut Context<Self>) {
        self.node.add_members(message.0, self.fleet.now());
        self.fleet.set_alive_peers(self.node.alive().count());
    }
}

impl Handler<Members> for Link {
    type Return = Vec<Member>;

    async fn handle(&mut self, _: Members, _: &mut Context<Self>) -> Vec<Member> {
        self.node.members().cloned().collect()
    }
}

impl Handler<FullFacts> for Link {
    type Return = Envelope;

    async fn handle(&mut self, wanted: FullFacts, _: &mut Context<Self>) -> Envelope {
        let facts = self.node.facts().export_full(&wanted.0, self.fleet.now());
        self.node.envelope(Body::Push(Facts { facts }))
    }
}

impl Handler<Confirm> for Link {
    type Return = Vec<Name>;

    async fn handle(&mut self, confirm: Confirm, _: &mut Context<Self>) -> Vec<Name> {
        self.last_seq += 1;
        let request =
            self.node.envelope(Body::RevisionRequest(RevisionRequest { seq: self.last_seq }));
        let alive: Vec<Member> = self.node.alive().cloned().collect();
        let mut behind = Vec::new();
        for member in alive {
            if self.confirmed.get(&member.name).is_none_or(|revision| *revision < confirm.revision)
            {
                self.send(member.address, &request).await;
                behind.push(member.name);
            }
        }
        behind
    }
}

impl Handler<SendEvidence> for Link {
    type Return = ();

    async fn handle(&mut self, report: SendEvidence, _: &mut Context<Self>) {
        let holder = self.node.alive().find(|member| member.name == report.0);
        if let Some(address) = holder.map(|member| member.address) {
            let envelope = self.node.envelope(Body::Evidence(report.1));
            self.send(address, &envelope).await;
        }
    }
}

impl Handler<Leave> for Link {
    type Return = ();

    async fn handle(&mut self, _: Leave, _: &mut Context<Self>) {
        let effects = self.node.leave();
        self.carry_out(effects).await;
    }
}

/// Supervised task that runs the [`Link`] and feeds it ticks and datagrams.
#[derive(Clone, Debug)]
pub struct LinkTask {
    /// State of the daemon.
    pub fleet: Arc<Fleet>,
    /// Socket for gossip; bound before the daemon starts, so that an error prevents the start.
    pub socket: Arc<UdpSocket>,
    /// Listener for peers that fetch facts; bound to the address of `socket`.
    pub listener: Arc<TcpListener>,
}

impl Child for LinkTask {
    fn name(&self) -> &'static str {
        "peers"
    }

    async fn run(self) {
        let (address, mailbox) = Mailbox::bounded(1_024);
        let settings = &self.fleet.settings;
        let local = Member {
            name: settings.name.clone(),
            address: self.socket.local_addr().unwrap_or(settings.peer),
            dc: settings.dc.clone(),
            incarnation: unix_now(),
            state: State::Alive,
        };
        let key = Key::derive(settings.fleet_key.expose().as_bytes());
        self.fleet.set_link(address.clone());
        let link = Link {
            fleet: self.fleet.clone(),
            node: Node::new(local, node::Options::default(), rand::random()),
            socket: self.socket.clone(),
            key: key.clone(),
            confirmed: HashMap::new(),
            last_seq: 0,
            address: address.downgrade(),
        };
        tokio::select! {
            () = xtra::run(mailbox, link) => {}
            () = tick(address.clone()) => {}
            () = receive(self.socket.clone(), address.clone()) => {}
            () = serve(&self.fleet, &self.listener, address, key) => {}
        }
    }
}

async fn tick(link: Address<Link>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if link.send(Tick).await.is_err() {
            return;
        }
    }
}

async fn receive(socket: Arc<UdpSocket>, link: Address<Link>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // An error here means that an earlier datagram could not be delivered.
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let datagram = Bytes::copy_from_slice(&buffer[..length]);
        if link.send(Datagram(datagram, from)).await.is_err() {
            return;
        }
    }
}

/// Waits up to `wait` until all peers that are alive or suspected have confirmed a revision.
///
/// Returns the sorted names of those that have not.
pub async fn wait_confirmed(link: &Address<Link>, revision: u64, wait: Duration) -> Vec<Name> {
    const REQUEST_INTERVAL: Duration = Duration::from_millis(200);
    let deadline = tokio::time::Instant::now() + wait;
    let mut behind: HashSet<Name> = HashSet::new();
    loop {
        if let Ok(names) = link.send(Confirm { revision }).await {
            behind = names.into_iter().collect();
        }
        if behind.is_empty() || tokio::time::Instant::now() >= deadline {
            let mut names: Vec<Name> = behind.into_iter().collect();
            names.sort();
            return names;
        }
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
}
