//! A service that receives more requests than it can answer in time goes on answering in time as
//! many as it can, and none is shed while it has free capacity.
//!
//! The tests replay a load of many daemons on a few replicas with bounded queues.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

use winch_route::{
    hash,
    shed::{Ending, MIN_RETRY_AFTER, Shedder},
};

const DAEMONS: usize = 98;
const REPLICAS: usize = 6;
const SLOTS: usize = 6;
const QUEUE: usize = 24;
const DATA_CENTRES: usize = 3;
const WORK_MS: f64 = 60.0;
const TARGET: Duration = Duration::from_millis(300);
/// Requests a second of an ordinary load; the replicas can answer 600.
const NORMAL: f64 = 232.0;
/// Of 232 requests, 137 are orders with one attempt; the others are lookups with two.
const ORDER_SHARE: f64 = 137.0 / 232.0;
const ORDINARY: u32 = 1;
const URGENT: u32 = 0;

/// A replica that does not answer as the others do.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// One replica answers this share of its requests with a server error.
    Errors(f64),
    /// This share of all replies is late.
    LateReplies(f64),
    /// One replica answers everything late.
    SlowReplica,
}

/// One replay.
#[derive(Clone, Copy, Debug)]
struct Load {
    /// Requests a second until `burst_end`.
    rate: f64,
    /// Requests a second from then on.
    rate_after: f64,
    burst_end: Duration,
    end: Duration,
    /// Share of requests with the more urgent priority.
    urgent_share: f64,
    fault: Fault,
    sheds: bool,
    seed: u64,
}

impl Load {
    fn steady(factor: f64) -> Self {
        let end = Duration::from_secs(24);
        Self {
            rate: factor * NORMAL,
            rate_after: factor * NORMAL,
            burst_end: end,
            end,
            urgent_share: 0.0,
            fault: Fault::None,
            sheds: true,
            seed: 7,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Request {
    first_arrival: Duration,
    /// When the current daemon received it.
    received: Duration,
    daemon: usize,
    priority: u32,
    is_order: bool,
    is_retry: bool,
    /// Replica that has refused it or answered it with an error.
    failed_at: Option<usize>,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrival(Request),
    Done { replica: usize, request: Request, sent: Duration },
    Late { replica: usize, request: Request, sent: Duration },
}

#[derive(Clone, Debug, Default)]
struct Daemon {
    shedder: Shedder,
    latency_ms: [Option<f64>; REPLICAS],
    full_until: [Duration; REPLICAS],
}

#[derive(Clone, Debug, Default)]
struct Replica {
    running: usize,
    queue: VecDeque<(Request, Duration)>,
}

/// Counts by priority.
#[derive(Clone, Debug, Default)]
struct Counts {
    arrived: [u32; 2],
    on_time: [u32; 2],
    shed: [u32; 2],
    shed_at: Vec<Duration>,
    retry_after: Vec<Duration>,
}

struct Replay {
    load: Load,
    now: Duration,
    numbers: u64,
    serial: u64,
    order: BinaryHeap<Reverse<(Duration, u64)>>,
    events: std::collections::HashMap<u64, Event>,
    daemons: Vec<Daemon>,
    replicas: Vec<Replica>,
    result: Counts,
}

impl Replay {
    fn run(load: Load) -> Counts {
        let mut replay = Self {
            load,
            now: Duration::ZERO,
            numbers: load.seed << 32,
            serial: 0,
            order: BinaryHeap::new(),
            events: std::collections::HashMap::new(),
            daemons: vec![Daemon::default(); DAEMONS],
            replicas: vec![Replica::default(); REPLICAS],
            result: Counts::default(),
        };
        replay.schedule_arrival();
        while let Some(Reverse((at, serial))) = replay.order.pop() {
            replay.now = at;
            let event = replay.events.remove(&serial).unwrap();
            replay.handle(event);
        }
        replay.result
    }

    fn random(&mut self) -> f64 {
        self.numbers += 1;
        (hash::mix(self.numbers) >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.serial += 1;
        self.order.push(Reverse((at, self.serial)));
        self.events.insert(self.serial, event);
    }

    fn schedule_arrival(&mut self) {
        let is_burst = self.now < self.load.burst_end;
        let rate = if is_burst { self.load.rate } else { self.load.rate_after };
        let gap = -(1.0 - self.random()).ln() / rate;
        let at = self.now + Duration::from_secs_f64(gap);
        if at >= self.load.end {
            return;
        }
        let is_urgent = self.random() < self.load.urgent_share;
        let request = Request {
            first_arrival: at,
            received: at,
            daemon: self.random_daemon(),
            priority: if is_urgent { URGENT } else { ORDINARY },
            is_order: self.random() < ORDER_SHARE,
            is_retry: false,
            failed_at: None,
        };
        self.at(at, Event::Arrival(request));
    }

    fn random_daemon(&mut self) -> usize {
        (self.random() * DAEMONS as f64) as usize
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(request) => {
                if !request.is_retry {
                    self.result.arrived[request.priority as usize] += 1;
                    self.schedule_arrival();
                }
                self.admit(request);
            }
            Event::Done { replica, request, sent } => {
                let next = self.replicas[replica].queue.pop_front();
                self.replicas[replica].running -= 1;
                if let Some((request, sent)) = next {
                    self.start(replica, request, sent);
                }
                self.answer(replica, request, sent);
            }
            Event::Late { replica, request, sent } => self.finish(replica, request, sent),
        }
    }

    fn admit(&mut self, request: Request) {
        let (draw, jitter) = (self.random(), self.random());
        if self.load.sheds {
            let shedder = &mut self.daemons[request.daemon].shedder;
            let shed = shedder.admit(request.priority, REPLICAS, self.now, draw, jitter);
            if let Some(retry_after) = shed {
                self.result.shed[request.priority as usize] += 1;
                self.result.shed_at.push(self.now);
                self.result.retry_after.push(retry_after);
                self.return_later(request, retry_after);
                return;
            }
        }
        self.send(request);
    }

    /// The caller sends a refused request again, once.
    fn return_later(&mut self, request: Request, retry_after: Duration) {
        if request.is_retry {
            return;
        }
        let at = self.now + retry_after;
        let daemon = self.random_daemon();
        let request = Request { received: at, daemon, is_retry: true, failed_at: None, ..request };
        self.at(at, Event::Arrival(request));
    }

    fn send(&mut self, request: Request) {
        let costs = (0..REPLICAS).map(|replica| {
            let daemon = &self.daemons[request.daemon];
            let latency = daemon.latency_ms[replica].unwrap_or(20.0);
            let is_local = request.daemon % DATA_CENTRES == replica % DATA_CENTRES;
            let remote = if is_local { 1.0 } else { 1.5 };
            let full = if self.now < daemon.full_until[replica] { 4.0 } else { 1.0 };
            (replica, latency * remote * full)
        });
        let costs: Vec<_> = costs.collect();
        let costs =
            costs.into_iter().map(|(replica, cost)| (replica, cost * (0.95 + 0.1 * self.random())));
        let costs: Vec<_> = costs.collect();
        let eligible = costs.iter().filter(|(replica, _)| Some(*replica) != request.failed_at);
        let replica = eligible.min_by(|a, b| a.1.total_cmp(&b.1)).unwrap().0;
        let now = self.now;
        if self.replicas[replica].running < SLOTS {
            self.start(replica, request, now);
        } else if self.replicas[replica].queue.len() < QUEUE {
            self.replicas[replica].queue.push_back((request, now));
        } else {
            let until = now + Duration::from_millis(200);
            self.daemons[request.daemon].full_until[replica] = until;
            if !request.is_order && request.failed_at.is_none() {
                self.send(Request { failed_at: Some(replica), ..request });
                return;
            }
            self.record(request, Ending::Rejected { replica: replica as u64 });
            self.return_later(request, MIN_RETRY_AFTER);
        }
    }

    fn start(&mut self, replica: usize, request: Request, sent: Duration) {
        self.replicas[replica].running += 1;
        let work = WORK_MS * (0.8 + 0.4 * self.random());
        let at = self.now + Duration::from_secs_f64(work / 1_000.0);
        self.at(at, Event::Done { replica, request, sent });
    }

    fn answer(&mut self, replica: usize, request: Request, sent: Duration) {
        let is_error = match self.load.fault {
            Fault::Errors(share) => replica == 0 && self.random() < share,
            _ => false,
        };
        if is_error {
            return;
        }
        let is_late = match self.load.fault {
            Fault::LateReplies(share) => self.random() < share,
            Fault::SlowReplica => replica == 0,
            _ => false,
        };
        if is_late {
            self.at(self.now + TARGET, Event::Late { replica, request, sent });
        } else {
            self.finish(replica, request, sent);
        }
    }

    fn finish(&mut self, replica: usize, request: Request, sent: Duration) {
        let latency_ms = (self.now - sent).as_secs_f64() * 1_000.0;
        let mean = &mut self.daemons[request.daemon].latency_ms[replica];
        let previous = mean.unwrap_or(latency_ms);
        // A slow replica is not avoided here, so that its late replies are many.
        if self.load.fault != Fault::SlowReplica {
            *mean = Some(previous + 0.2 * (latency_ms - previous));
        }
        let is_late = self.now - request.received > TARGET;
        let rejected = Ending::Rejected { replica: replica as u64 };
        self.record(request, if is_late { rejected } else { Ending::Accepted });
        if self.now - request.first_arrival <= TARGET {
            self.result.on_time[request.priority as usize] += 1;
        }
    }

    fn record(&mut self, request: Request, ending: Ending) {
        let now = self.now;
        self.daemons[request.daemon].shedder.record(request.priority, ending, now);
    }
}

/// Without shedding the queues of the replicas are full, so that most answers are late.
#[test]
fn more_on_time_with_shedding() {
    for (factor, gain) in [(3.0, 1.05), (6.0, 1.3)] {
        for seed in 0..3 {
            let load = Load { seed, ..Load::steady(factor) };
            let shed = Replay::run(load).on_time[ORDINARY as usize];
            let unshed = Replay::run(Load { sheds: false, ..load }).on_time[ORDINARY as usize];
            assert!(
                f64::from(shed) > gain * f64::from(unshed),
                "{shed} on time with shedding and {unshed} without at {factor} times the load"
            );
        }
    }
}

/// Single late replies, one failing and one slow replica are no overload.
#[test]
fn none_shed_at_normal_load() {
    let faults = [Fault::None, Fault::LateReplies(0.02), Fault::Errors(0.14), Fault::SlowReplica];
    for fault in faults {
        for seed in 0..4 {
            let counts = Replay::run(Load { fault, seed, ..Load::steady(1.0) });
            assert_eq!(counts.shed, [0, 0], "{fault:?}, seed {seed}");
        }
    }
}

/// The counts of a burst do not shed requests after it.
#[test]
fn burst_soon_forgotten() {
    let burst_end = Duration::from_secs(10);
    for seed in 0..4 {
        let load = Load { rate_after: NORMAL, burst_end, seed, ..Load::steady(6.0) };
        let counts = Replay::run(load);
        let last = counts.shed_at.iter().max().unwrap();
        assert!(*last < burst_end + Duration::from_secs(2), "shed until {last:?}, seed {seed}");
    }
}

#[test]
fn less_urgent_shed_first() {
    let load = Load { urgent_share: 0.2, ..Load::steady(6.0) };
    let counts = Replay::run(load);
    let share = |counts: &[u32; 2], priority: u32| {
        f64::from(counts[priority as usize]) / f64::from(counts.iter().sum::<u32>())
    };
    assert!(share(&counts.shed, URGENT) < 0.02, "{:?} shed", counts.shed);
    let served = |counts: &Counts| {
        f64::from(counts.on_time[URGENT as usize]) / f64::from(counts.arrived[URGENT as usize])
    };
    let unshed = Replay::run(Load { sheds: false, ..load });
    let (shed, unshed_share) = (served(&counts), served(&unshed));
    assert!(shed > 3.0 * unshed_share, "{shed} on time with shedding and {unshed_share} without");
    assert!(counts.on_time.iter().sum::<u32>() > unshed.on_time.iter().sum());
}

#[test]
fn callers_return_apart() {
    let counts = Replay::run(Load::steady(6.0));
    assert!(counts.retry_after.iter().all(|time| *time >= MIN_RETRY_AFTER));
    let mut times: Vec<u128> = counts.retry_after.iter().map(Duration::as_millis).collect();
    times.sort_unstable();
    let (early, late) = (times[times.len() / 10], times[times.len() * 9 / 10]);
    assert!(late * 4 > early * 5, "a tenth before {early} ms, a tenth after {late} ms");
}

/// Sends a request every `gap` from `start` on, each of which the next of `replicas` replicas ends
/// in time or not; returns how many are shed.
fn shed_count(
    shedder: &mut Shedder,
    start: Duration,
    gap: Duration,
    count: u32,
    replicas: u64,
    is_accepted: bool,
) -> u32 {
    let mut shed = 0;
    for number in 0..count {
        let now = start + gap * number;
        let draw = f64::from(number % 10) / 10.0;
        if shedder.admit(ORDINARY, replicas as usize, now, draw, 0.5).is_some() {
            shed += 1;
            continue;
        }
        let rejected = Ending::Rejected { replica: u64::from(number) % replicas };
        shedder.record(ORDINARY, if is_accepted { Ending::Accepted } else { rejected }, now);
    }
    shed
}

/// A daemon that sees two requests a second cannot tell an overload from a few late replies.
#[test]
fn handful_not_judged() {
    let mut shedder = Shedder::default();
    let gap = Duration::from_millis(500);
    assert_eq!(shed_count(&mut shedder, Duration::ZERO, gap, 40, 6, false), 0);
}

/// A service that has answered nothing in time still gets some requests, and all of them soon
/// after it has recovered.
#[test]
fn dead_service_recovers() {
    let mut shedder = Shedder::default();
    let gap = Duration::from_millis(50);
    let start = Duration::ZERO;
    let shed = shed_count(&mut shedder, start, gap, 200, 6, false);
    assert!((100..200).contains(&shed), "{shed} of 200");
    let recovery = Duration::from_secs(10);
    shed_count(&mut shedder, recovery, gap, 200, 6, true);
    let later = recovery + gap * 200;
    assert_eq!(shed_count(&mut shedder, later, gap, 100, 6, true), 0);
}
