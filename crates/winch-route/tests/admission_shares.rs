//! Admission: every call leaves the queue once, limits hold and teams get their shares.

use std::{collections::HashMap, time::Duration};

use assert_matches::assert_matches;
use proptest::prelude::*;
use winch_route::{
    admission::{Arrival, Options, Queue, Refusal, WaiterId},
    urgency::Urgency,
};

fn arrival(team: &str, weight: u32, max_wait: Duration) -> Arrival {
    Arrival { team: team.into(), weight, urgency: Urgency::Short, max_wait }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A step of a test run, in which times are in milliseconds.
#[derive(Clone, Debug)]
enum Input {
    /// Queues a call of a team, given its longest wait.
    Enqueue(u8, u64),
    Start,
    Remove(prop::sample::Index),
    /// Advances the time and expires calls.
    Advance(u64),
}

fn inputs() -> impl Strategy<Value = Vec<Input>> {
    let input = prop_oneof![
        5 => (0..4_u8, 100..5_000_u64).prop_map(|(team, wait)| Input::Enqueue(team, wait)),
        3 => Just(Input::Start),
        1 => any::<prop::sample::Index>().prop_map(Input::Remove),
        2 => (1..900_u64).prop_map(Input::Advance),
    ];
    prop::collection::vec(input, 1..200)
}

fn config() -> ProptestConfig {
    ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(13), ..Default::default() }
}

proptest! {
    #![proptest_config(config())]

    /// Each queued call is started, expired or removed exactly once, and expires at its deadline.
    #[test]
    fn no_call_lost(inputs in inputs()) {
        let options = Options { max_waiting: 20, initial_rate: 1_000.0, ..Options::default() };
        let mut queue = Queue::new(options);
        let mut expected: HashMap<WaiterId, Duration> = HashMap::new();
        let mut now = ms(0);
        for input in inputs {
            match input {
                Input::Enqueue(team, wait) => {
                    if let Ok(waiter) = queue.enqueue(&arrival(&team.to_string(), 1, ms(wait)), now) {
                        prop_assert!(expected.insert(waiter, now + ms(wait)).is_none());
                    }
                }
                Input::Start => match queue.start_next(now) {
                    Some(waiter) => prop_assert!(expected.remove(&waiter).is_some()),
                    None => prop_assert!(expected.is_empty()),
                },
                Input::Remove(index) => {
                    let mut waiters: Vec<WaiterId> = expected.keys().copied().collect();
                    waiters.sort();
                    if !waiters.is_empty() {
                        let waiter = waiters[index.index(waiters.len())];
                        prop_assert!(queue.remove(waiter));
                        expected.remove(&waiter);
                    }
                }
                Input::Advance(elapsed) => {
                    now += ms(elapsed);
                    let expired = queue.expire(now);
                    for waiter in &expired {
                        prop_assert!(expected.remove(waiter).is_some_and(|deadline| deadline <= now));
                    }
                    prop_assert!(expected.values().all(|deadline| *deadline > now));
                }
            }
            prop_assert_eq!(queue.waiting(), expected.len());
            prop_assert!(queue.waiting() <= 20);
        }
    }

    /// Teams that always have queued calls get starts in proportion to their weights.
    #[test]
    fn weighted_shares(weights in prop::collection::vec(1..6_u32, 2..5)) {
        let options = Options { max_waiting: 4_000, max_team_share: 1.0, initial_rate: 1e6 };
        let mut queue = Queue::new(options);
        let mut team_of = HashMap::new();
        for (team, weight) in weights.iter().enumerate() {
            for _ in 0..600 {
                let arrival = arrival(&team.to_string(), *weight, Duration::from_secs(900));
                team_of.insert(queue.enqueue(&arrival, ms(0)).unwrap(), team);
            }
        }
        let mut starts = vec![0_u32; weights.len()];
        let rounds = 100;
        let total: u32 = weights.iter().sum();
        for _ in 0..rounds * total {
            let waiter = queue.start_next(ms(1)).unwrap();
            starts[team_of[&waiter]] += 1;
        }
        for (team, weight) in weights.iter().enumerate() {
            prop_assert!(starts[team].abs_diff(weight * rounds) <= total);
        }
    }
}

#[test]
fn small_team_served() {
    // A team that fills its share of the queue does not delay a team with a single call.
    let options = Options { initial_rate: 1_000.0, ..Options::default() };
    let mut queue = Queue::new(options);
    let wait = Duration::from_secs(60);
    while queue.enqueue(&arrival("large", 1, wait), ms(0)).is_ok() {}
    let small = queue.enqueue(&arrival("small", 1, wait), ms(1)).unwrap();
    let started: Vec<WaiterId> = (0..2).filter_map(|_| queue.start_next(ms(2))).collect();
    assert!(started.contains(&small));
}

#[test]
fn flood_refused() {
    let mut queue =
        Queue::new(Options { max_waiting: 10, initial_rate: 1e6, ..Options::default() });
    let call = arrival("large", 1, Duration::from_secs(60));
    (0..5).for_each(|_| assert_matches!(queue.enqueue(&call, ms(0)), Ok(_)));
    assert_matches!(queue.enqueue(&call, ms(0)), Err(Refusal::TeamCrowded { .. }));
}

#[test]
fn late_refused() {
    let mut queue = Queue::new(Options { initial_rate: 1.0, ..Options::default() });
    let call = arrival("a", 1, Duration::from_secs(2));
    assert_matches!(queue.enqueue(&call, ms(0)), Ok(_));
    assert_matches!(queue.enqueue(&call, ms(0)), Ok(_));
    assert_matches!(queue.enqueue(&call, ms(0)), Err(Refusal::TooLate { .. }));
}
