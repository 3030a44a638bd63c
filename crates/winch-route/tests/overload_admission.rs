//! Admission of streams under loads of several times the capacity of a service.
//!
//! Without refusals every request waits until it is late; with a fixed limit and old reports, all
//! daemons send to the same free replica, so that fewer requests start in time the more arrive.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use proptest::prelude::*;
use winch_route::{
    hash,
    overload::{Change, Estimate, Gate, Request},
};

const REPLICAS: usize = 120;
const DAEMONS: usize = 98;
/// Time that a replica takes for a mean prompt.
const PROMPT: Duration = Duration::from_secs(1);
/// Interval of a replica's load reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Numbers of replicas that are asked at first, and in addition if all of these are loaded.
const CANDIDATES: [usize; 2] = [4, 8];
/// Share of the capacity that arrives before and after a burst.
const CALM: f64 = 0.3;
const BURST_START: Duration = Duration::from_secs(5);
const BURST_END: Duration = Duration::from_secs(29);
const END: Duration = Duration::from_secs(45);
/// Share of urgent requests where there are two ranks.
const URGENT_SHARE: f64 = 0.065;
const TIMEOUT: Duration = Duration::from_secs(25);

/// A load: what arrives, and how its callers react to a refusal.
#[derive(Clone, Copy)]
struct Load {
    /// Arrivals in the burst, relative to the capacity of all replicas.
    factor: f64,
    /// Target latency of each rank.
    targets: &'static [Duration],
    /// Whether a refused caller returns once.
    returns: bool,
    seed: u64,
}

const ONE_RANK: &[Duration] = &[Duration::from_millis(4_500)];
const TWO_RANKS: &[Duration] = &[Duration::from_secs(4), Duration::from_secs(10)];

/// What became of the requests of one rank.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    arrived: u32,
    in_time: u32,
    late: u32,
    refused: u32,
}

#[derive(Debug, Default)]
struct Outcome {
    ranks: Vec<Served>,
    last_refusal: Duration,
    longest_retry_after: Duration,
}

struct Rng(u64);

impl Rng {
    fn number(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(1);
        (hash::mix(self.0) >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn index(&mut self, length: usize) -> usize {
        (self.number() * length as f64) as usize
    }
}

/// A replica that reads one prompt at a time, the most urgent first.
#[derive(Default)]
struct Replica {
    waiting: BinaryHeap<Reverse<Prompt>>,
    busy_until: Duration,
    /// Time until the queued prompts of at most each rank are read, as last reported.
    report: Vec<Duration>,
}

/// Ordered as replicas take them.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Prompt {
    rank: u32,
    number: u64,
    length: Duration,
    sent_at: Duration,
}

impl Replica {
    fn measure(&self, ranks: usize, now: Duration) -> Vec<Duration> {
        let rest = self.busy_until.saturating_sub(now);
        let queued = |rank: u32| {
            let ahead = self.waiting.iter().filter(|prompt| prompt.0.rank <= rank);
            rest + ahead.map(|prompt| prompt.0.length).sum::<Duration>()
        };
        (0..ranks as u32).map(queued).collect()
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Report(usize),
    Free(usize),
    Arrive { rank: u32, is_return: bool },
}

/// Plays a load against replicas and one gate for each daemon.
fn play(load: Load) -> Outcome {
    let ranks = load.targets.len();
    let rng = &mut Rng(hash::mix(load.seed));
    let mut replicas: Vec<Replica> = (0..REPLICAS).map(|_| Replica::default()).collect();
    let mut gates: Vec<Gate> = (0..DAEMONS).map(|_| Gate::default()).collect();
    let mut outcome = Outcome { ranks: vec![Served::default(); ranks], ..Outcome::default() };
    let mut events: BinaryHeap<Reverse<(Duration, u64, Event)>> = BinaryHeap::new();
    let mut number = 0;
    for (replica, state) in replicas.iter_mut().enumerate() {
        state.report = vec![Duration::ZERO; ranks];
        events.push(Reverse((REPORT_INTERVAL.mul_f64(rng.number()), 0, Event::Report(replica))));
    }
    let mut at = Duration::ZERO;
    while at < END {
        let share = if (BURST_START..BURST_END).contains(&at) { load.factor } else { CALM };
        let mean = PROMPT.div_f64(REPLICAS as f64 * share);
        at += mean.mul_f64(-rng.number().max(f64::MIN_POSITIVE).ln());
        let rank = u32::from(ranks > 1 && rng.number() >= URGENT_SHARE);
        outcome.ranks[rank as usize].arrived += 1;
        events.push(Reverse((at, 0, Event::Arrive { rank, is_return: false })));
    }
    while let Some(Reverse((now, _, event))) = events.pop() {
        number += 1;
        match event {
            Event::Report(replica) => {
                replicas[replica].report = replicas[replica].measure(ranks, now);
                if now < END + TIMEOUT {
                    events.push(Reverse((now + REPORT_INTERVAL, number, event)));
                }
            }
            Event::Free(replica) => {
                let state = &mut replicas[replica];
                if now < state.busy_until {
                    continue;
                }
                let Some(Reverse(prompt)) = state.waiting.pop() else { continue };
                state.busy_until = now + prompt.length;
                events.push(Reverse((state.busy_until, number, event)));
                let served = &mut outcome.ranks[prompt.rank as usize];
                let latency = state.busy_until - prompt.sent_at;
                let is_in_time = latency <= load.targets[prompt.rank as usize];
                served.in_time += u32::from(is_in_time);
                served.late += u32::from(!is_in_time);
            }
            Event::Arrive { rank, is_return } => {
                let gate = &mut gates[rng.index(DAEMONS)];
                let queued = |replica: usize| replicas[replica].report[rank as usize];
                let mut best = rng.index(REPLICAS);
                for count in CANDIDATES {
                    let drawn = (0..count).map(|_| rng.index(REPLICAS));
                    best = drawn.chain([best]).min_by_key(|replica| queued(*replica)).unwrap();
                    if queued(best).is_zero() || gate.is_saturated(rank, now) {
                        break;
                    }
                }
                let request = Request {
                    rank,
                    ranks: ranks as u32,
                    target: load.targets[rank as usize],
                    elapsed: Duration::from_millis(5),
                    time_left: TIMEOUT,
                };
                let report = &replicas[best].report;
                let estimate = Estimate {
                    unloaded: PROMPT,
                    start: PROMPT + report[ranks - 1],
                    urgent_start: PROMPT + report[rank as usize],
                };
                match gate.admit(&request, estimate, now, rng.number()) {
                    Ok(()) => {
                        let length = PROMPT.mul_f64(0.5 + rng.number());
                        let prompt = Prompt { rank, number, length, sent_at: now };
                        replicas[best].waiting.push(Reverse(prompt));
                        events.push(Reverse((now, number, Event::Free(best))));
                    }
                    Err(refusal) => {
                        outcome.last_refusal = now;
                        let retry_after = refusal.retry_after;
                        outcome.longest_retry_after = outcome.longest_retry_after.max(retry_after);
                        if load.returns && !is_return {
                            let event = Event::Arrive { rank, is_return: true };
                            events.push(Reverse((now + retry_after, number, event)));
                        } else {
                            outcome.ranks[rank as usize].refused += 1;
                        }
                    }
                }
            }
        }
    }
    outcome
}

/// A request of `rank` among `ranks` ranks, with a target of ten seconds.
fn request(rank: u32, ranks: u32) -> Request {
    let target = Duration::from_secs(10);
    Request { rank, ranks, target, elapsed: Duration::ZERO, time_left: TIMEOUT }
}

/// An estimate with queues of these lengths, in seconds.
fn estimate(wait: f64, urgent_wait: f64) -> Estimate {
    Estimate {
        unloaded: PROMPT,
        start: PROMPT + Duration::from_secs_f64(wait),
        urgent_start: PROMPT + Duration::from_secs_f64(urgent_wait),
    }
}

fn total(load: Load, count: impl Fn(&Served) -> u32) -> u32 {
    let outcomes = (1..=4).map(|seed| play(Load { seed, ..load }));
    outcomes.map(|outcome| outcome.ranks.iter().map(&count).sum::<u32>()).sum()
}

/// Requests served in time at three and at six times the capacity.
fn in_time(targets: &'static [Duration], returns: bool) -> [u32; 2] {
    let load = |factor| Load { factor, targets, returns, seed: 0 };
    [3.0, 6.0].map(|factor| total(load(factor), |served| served.in_time))
}

#[test]
fn more_load_serves_no_fewer() {
    for returns in [false, true] {
        let [three, six] = in_time(ONE_RANK, returns);
        assert!(
            six >= three,
            "returns: {returns}: {three} in time at three times the capacity, {six} at six times"
        );
    }
}

/// In the first half second of a burst, reports still show replicas as free to which all daemons
/// send at the same time. Ordinary requests there are late, because they are passed by twice as
/// many urgent ones.
#[test]
fn more_load_of_two_ranks_serves_no_fewer() {
    for returns in [false, true] {
        let [three, six] = in_time(TWO_RANKS, returns);
        assert!(
            six >= three,
            "returns: {returns}: {three} in time at three times the capacity, {six} at six times"
        );
    }
}

/// Holds the loss of `more_load_of_two_ranks_serves_no_fewer` below 3 % while that test fails.
#[test]
fn start_of_burst_costs_little() {
    for returns in [false, true] {
        let [three, six] = in_time(TWO_RANKS, returns);
        assert!(
            f64::from(six) >= 0.97 * f64::from(three),
            "returns: {returns}: {three} in time at three times the capacity, {six} at six times"
        );
    }
}

#[test]
fn capacity_used_in_burst() {
    let capacity = (BURST_END - BURST_START).as_secs_f64() / PROMPT.as_secs_f64() * REPLICAS as f64;
    for targets in [ONE_RANK, TWO_RANKS] {
        for factor in [1.5, 3.0, 6.0] {
            let outcome = play(Load { factor, targets, returns: false, seed: 5 });
            let in_time: u32 = outcome.ranks.iter().map(|served| served.in_time).sum();
            assert!(
                f64::from(in_time) >= capacity,
                "{in_time} in time at {factor} times the capacity of {capacity}"
            );
        }
    }
}

#[test]
fn urgent_requests_served_first() {
    for factor in [0.9, 1.5, 3.0, 6.0] {
        let outcome = play(Load { factor, targets: TWO_RANKS, returns: false, seed: 6 });
        let share = |served: &Served| f64::from(served.in_time) / f64::from(served.arrived);
        let (urgent, ordinary) = (share(&outcome.ranks[0]), share(&outcome.ranks[1]));
        assert!(urgent >= ordinary, "{urgent} of the urgent requests, {ordinary} of the others");
        assert_eq!(outcome.ranks[0].refused, 0, "refused because of ordinary requests");
    }
}

#[test]
fn calm_load_admitted() {
    for targets in [ONE_RANK, TWO_RANKS] {
        for factor in [CALM, 0.7, 0.9] {
            let outcome = play(Load { factor, targets, returns: false, seed: 7 });
            let refused: u32 = outcome.ranks.iter().map(|served| served.refused).sum();
            assert_eq!(refused, 0, "at {factor} times the capacity");
        }
    }
}

#[test]
fn burst_soon_over() {
    for targets in [ONE_RANK, TWO_RANKS] {
        for factor in [1.5, 3.0, 6.0] {
            for returns in [false, true] {
                let outcome = play(Load { factor, targets, returns, seed: 8 });
                // The callers that return are a load of their own after the burst.
                let returned = if returns { outcome.longest_retry_after } else { Duration::ZERO };
                let last = BURST_END + returned + Duration::from_secs(2);
                assert!(
                    outcome.last_refusal < last,
                    "refused at {:?} after {factor} times the capacity until {BURST_END:?}",
                    outcome.last_refusal
                );
            }
        }
    }
}

/// A request that takes long by itself is served late rather than not at all.
#[test]
fn free_replica_never_refused() {
    let mut gate = Gate::default();
    let long = Estimate {
        unloaded: Duration::from_secs(30),
        start: Duration::from_secs(30),
        urgent_start: Duration::from_secs(30),
    };
    for (rank, ranks) in [(0, 1), (0, 2), (1, 2), (3, 4)] {
        let late = Request { elapsed: Duration::from_secs(1), ..request(rank, ranks) };
        assert_eq!(gate.admit(&late, long, Duration::ZERO, 0.5), Ok(()));
        let no_target = Request { target: Duration::ZERO, ..late };
        assert_eq!(gate.admit(&no_target, estimate(0.0, 0.0), Duration::ZERO, 0.5), Ok(()));
    }
}

#[test]
fn rank_decides_longest_wait() {
    let admits = |rank, ranks, wait, urgent_wait| {
        let estimate = estimate(wait, urgent_wait);
        Gate::default().admit(&request(rank, ranks), estimate, Duration::ZERO, 0.5).is_ok()
    };
    assert!(admits(0, 1, 8.9, 0.0), "the only rank may wait until the target");
    assert!(!admits(0, 1, 9.1, 0.0), "the only rank is judged by the whole queue");
    assert!(admits(0, 2, 60.0, 8.9), "an urgent request passes ordinary ones");
    assert!(!admits(0, 2, 60.0, 9.1));
    assert!(admits(1, 2, 2.9, 0.0));
    assert!(!admits(1, 2, 3.1, 0.0), "ordinary requests leave room for urgent ones");
    assert!(admits(1, 3, 5.9, 0.0) && !admits(1, 3, 6.1, 0.0), "ranks between are spread evenly");
    assert!(!admits(9, 3, 3.1, 0.0), "a rank of another configuration counts as the last one");
}

#[test]
fn elapsed_time_counted() {
    let late = Request { elapsed: Duration::from_secs(5), ..request(0, 1) };
    let mut gate = Gate::default();
    assert!(gate.admit(&late, estimate(3.9, 0.0), Duration::ZERO, 0.5).is_ok());
    assert!(gate.admit(&late, estimate(4.1, 0.0), Duration::ZERO, 0.5).is_err());
}

/// Callers that were refused while no replica had room need not make the daemon ask all again.
#[test]
fn saturation_remembered_shortly() {
    let mut gate = Gate::default();
    let ms = Duration::from_millis;
    gate.admit(&request(1, 3), estimate(20.0, 0.0), ms(0), 0.5).unwrap_err();
    assert!(!gate.is_saturated(0, ms(1)), "more urgent requests are judged by another queue");
    assert!(gate.is_saturated(1, ms(1)) && gate.is_saturated(2, ms(499)));
    assert!(!gate.is_saturated(1, ms(501)), "forgotten after a twentieth of the target");
    gate.admit(&request(1, 3), estimate(20.0, 0.0), ms(600), 0.5).unwrap_err();
    gate.admit(&request(2, 3), estimate(0.0, 0.0), ms(700), 0.5).unwrap();
    assert!(!gate.is_saturated(2, ms(701)), "a request found room");
}

#[test]
fn phase_reported_once() {
    let mut gate = Gate::default();
    let second = Duration::from_secs;
    assert_eq!(gate.take_change(second(1)), None);
    gate.admit(&request(0, 1), estimate(20.0, 0.0), second(1), 0.5).unwrap_err();
    assert_eq!(gate.take_change(second(1)), Some(Change::Began));
    gate.admit(&request(0, 1), estimate(20.0, 0.0), second(4), 0.5).unwrap_err();
    assert_eq!(gate.take_change(second(13)), None, "less than the target without a refusal");
    let ended = Change::Ended { length: second(3), refused: 2 };
    assert_eq!(gate.take_change(second(14)), Some(ended));
    assert_eq!(gate.take_change(second(15)), None);
}

proptest! {
    /// A caller that is told to wait longer than it can does not come back at all.
    #[test]
    fn return_time_bounded(
        wait in 9.0_f64..1_000.0,
        time_left in 0.0_f64..60.0,
        phase in 0.0_f64..1.0,
    ) {
        let time_left = Duration::from_secs_f64(time_left);
        let request = Request { time_left, ..request(0, 1) };
        let mut gate = Gate::default();
        let refused = gate.admit(&request, estimate(wait + 0.1, 0.0), Duration::ZERO, phase);
        let retry_after = refused.unwrap_err().retry_after;
        prop_assert!(retry_after >= Duration::from_secs(1));
        let longest = (time_left / 3).min(request.target / 2).max(Duration::from_secs(1));
        prop_assert!(retry_after <= longest + Duration::from_micros(1));
    }
}
