//! The state machine of one daemon among its peers.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};
use winch_wire::message::{self, Body, Envelope, Holdings, PingRequest, Probe, Told, Update};

use crate::{
    facts::{Fact, Facts},
    member::{Member, Peer, State},
};

/// Timing and fan-out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Time between two probes.
    pub period: Duration,
    /// Time after which a probe without an answer is tried through others.
    pub ack_timeout: Duration,
    /// Others that probe on a daemon's behalf.
    pub helpers: usize,
    /// Periods of suspicion for each decimal digit of the fleet's size.
    pub suspicion: f64,
    /// Peers that a new fact is pushed to.
    pub fanout: usize,
    /// How often news about a member is sent, times the logarithm of the fleet's size.
    pub repeats: f64,
    /// News about members in one message.
    pub updates: usize,
    /// How long dead members are remembered.
    pub memory: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            period: Duration::from_secs(1),
            ack_timeout: Duration::from_millis(300),
            helpers: 3,
            suspicion: 4.0,
            fanout: 4,
            repeats: 2.0,
            updates: 6,
            memory: Duration::from_secs(600),
        }
    }
}

/// What the embedder has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message.
    Send(SocketAddr, Envelope),
    /// A member changed state.
    Changed(Member),
    /// A fact is new; its body may be left out and has to be fetched from this address.
    Learned(Fact, SocketAddr),
    /// A peer told its revision in force.
    Told(Arc<str>, Told),
    /// A peer asks for the revision in force.
    Asked(SocketAddr, u64),
    /// A peer reports evidence about a move.
    Evidence(Arc<str>, message::Evidence),
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

/// Every so many probes one goes to a dead member, so that partitions heal.
const DEAD_PROBE_EVERY: u64 = 10;

impl Node {
    /// A daemon that knows nobody yet.
    pub fn new(me: Member, options: Options, seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let offset = options.period.mul_f64(random.random::<f64>());
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
    pub fn me(&self) -> &Member {
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
    pub fn heard(&self) -> Option<Duration> {
        self.heard
    }

    /// Takes in members from the platform's list, as far as they are not known.
    pub fn seed(&mut self, members: impl IntoIterator<Item = Member>, now: Duration) {
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

    fn insert(&mut self, member: Member, sends: u32, now: Duration) {
        let name = member.name.clone();
        self.peers.insert(name.clone(), Peer { member, since: now, sends });
        // A random place keeps the rounds of different daemons apart.
        let at = self.random.random_range(0..=self.order.len());
        self.order.insert(at, name);
    }

    fn sends(&self) -> u32 {
        let size = (self.peers.len() + 2) as f64;
        (self.options.repeats * size.log2()).ceil() as u32
    }

    /// Does what is due at `now`. Call it at least ten times a period.
    pub fn tick(&mut self, now: Duration) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.facts.expire(now);
        self.relays.retain(|relay| now.saturating_sub(relay.since) < self.options.period * 2);
        self.check_pending(now, &mut effects);
        if now >= self.next_probe {
            self.fail_pending(now, &mut effects);
            self.end_suspicions(now, &mut effects);
            self.probe(now, &mut effects);
            self.next_probe = (self.next_probe + self.options.period).max(now);
        }
        effects
    }

    fn probe(&mut self, now: Duration, effects: &mut Vec<Effect>) {
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
    fn next_target(&mut self, dead: bool) -> Option<Arc<str>> {
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

    fn check_pending(&mut self, now: Duration, effects: &mut Vec<Effect>) {
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
        for helper in self.sample(self.options.helpers, &target) {
            let request = PingRequest { seq, target: address.to_string() };
            effects.push(self.send(helper, Body::PingRequest(request)));
        }
    }

    fn fail_pending(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        let member = self.peers.get(&pending.target).map(|peer| peer.member.clone());
        if let Some(member) = member.filter(|member| member.state == State::Alive) {
            self.accept(Member { state: State::Suspect, ..member }, now, effects);
        }
    }

    fn end_suspicions(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let digits = ((self.peers.len() + 1) as f64).log10().max(1.0);
        let limit = self.options.period.mul_f64(self.options.suspicion * digits);
        let dead: Vec<Member> = self
            .peers
            .values()
            .filter(|peer| peer.member.state == State::Suspect)
            .filter(|peer| now.saturating_sub(peer.since) >= limit)
            .map(|peer| Member { state: State::Dead, ..peer.member.clone() })
            .collect();
        dead.into_iter().for_each(|member| self.accept(member, now, effects));
        let memory = self.options.memory;
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
    fn accept(&mut self, news: Member, now: Duration, effects: &mut Vec<Effect>) {
        if news.name == self.me.name {
            self.refute(&news);
            return;
        }
        let sends = self.sends();
        let Some(peer) = self.peers.get_mut(&news.name) else {
            if news.state <= State::Suspect {
                self.insert(news.clone(), sends, now);
                effects.push(Effect::Changed(news));
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
            effects.push(Effect::Changed(news));
        }
    }

    /// Answers wrong news about this daemon with a higher incarnation.
    fn refute(&mut self, news: &Member) {
        let wrong = news.state != State::Alive && self.me.state == State::Alive;
        if wrong && news.incarnation >= self.me.incarnation {
            self.me.incarnation = news.incarnation + 1;
        }
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
                let facts = self.facts.wanted(&wanted, now);
                self.push(from, facts, &mut effects);
            }
            Some(Body::Ask(ask)) => effects.push(Effect::Asked(from, ask.seq)),
            Some(Body::Told(told)) => effects.push(Effect::Told(name, told)),
            Some(Body::Evidence(evidence)) => effects.push(Effect::Evidence(name, evidence)),
            // A body of a later release.
            None => {}
        }
        effects
    }

    fn on_ping(
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

    fn on_ack(
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

    fn on_ping_request(
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

    fn on_sync(
        &mut self,
        from: SocketAddr,
        holdings: &Holdings,
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
    fn repair(&mut self, from: SocketAddr, digest: u64, now: Duration, effects: &mut Vec<Effect>) {
        if digest == self.facts.digest() || now < self.next_sync {
            return;
        }
        self.next_sync = now + self.options.period;
        let body = Body::Sync(self.facts.holdings());
        effects.push(self.send(from, body));
    }

    fn take_updates(&mut self, updates: &[Update], now: Duration, effects: &mut Vec<Effect>) {
        for update in updates {
            if let Ok(member) = Member::try_from(update) {
                self.accept(member, now, effects);
            }
        }
    }

    /// A probe with the news that were sent least often, its receiver's own first.
    fn probe_body(&mut self, seq: u64, receiver: Option<&Arc<str>>) -> Probe {
        let mut updates = vec![Update::from(&self.me)];
        // A suspected receiver must hear of it, so that it can refute.
        if let Some(peer) = receiver.and_then(|name| self.peers.get(name))
            && peer.member.state != State::Alive
        {
            updates.push(Update::from(&peer.member));
        }
        let mut hot: Vec<&mut Peer> = self.peers.values_mut().filter(|p| p.sends > 0).collect();
        hot.sort_unstable_by(|a, b| {
            b.sends.cmp(&a.sends).then_with(|| a.member.name.cmp(&b.member.name))
        });
        for peer in hot.into_iter().take(self.options.updates) {
            peer.sends -= 1;
            updates.push(Update::from(&peer.member));
        }
        Probe { seq, digest: self.facts.digest(), updates }
    }

    /// Makes a fact known to the fleet.
    pub fn publish(&mut self, fact: Fact, now: Duration) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.facts.learn(fact.clone(), now) {
            self.spread(&fact.key, None, now, &mut effects);
        }
        effects
    }

    /// Takes in a fact whose body was fetched; it was pushed on when it was first heard of.
    pub fn fetched(&mut self, fact: Fact, from: SocketAddr, now: Duration) -> Vec<Effect> {
        let new = self.facts.learn(fact.clone(), now);
        new.then_some(Effect::Learned(fact, from)).into_iter().collect()
    }

    fn learn(&mut self, fact: Fact, from: SocketAddr, now: Duration, effects: &mut Vec<Effect>) {
        let key = fact.key.clone();
        if self.facts.learn(fact.clone(), now) {
            effects.push(Effect::Learned(fact, from));
            self.spread(&key, Some(from), now, effects);
        }
    }

    fn spread(
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

    fn push(&self, to: SocketAddr, facts: Vec<message::Fact>, effects: &mut Vec<Effect>) {
        // One fact a datagram keeps each below the size that networks carry whole.
        for fact in facts {
            effects.push(self.send(to, Body::Push(message::Facts { facts: vec![fact] })));
        }
    }

    /// Addresses of random live members.
    fn sample(&mut self, count: usize, except: &str) -> Vec<SocketAddr> {
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
