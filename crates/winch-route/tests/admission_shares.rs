//! Admission: nothing lost, nothing held without bound, shares kept.

use std::{collections::HashMap, time::Duration};

use assert_matches::assert_matches;
use proptest::prelude::*;
use winch_route::{
    admission::{Arrival, Options, Queue, Refusal, WaiterId},
    urgency::Urgency,
};

fn arrival(team: &str, weight: u32, wait: Duration) -> Arrival {
    Arrival { team: team.into(), weight, urgency: Urgency::Short, wait }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[derive(Clone, Debug)]
enum Input {
    Arrive(u8, u64),
    Start,
    Leave(prop::sample::Index),
    Pass(u64),
}

fn inputs() -> impl Strategy<Value = Vec<Input>> {
    let input = prop_oneof![
        5 => (0..4_u8, 100..5_000_u64).prop_map(|(team, wait)| Input::Arrive(team, wait)),
        3 => Just(Input::Start),
        1 => any::<prop::sample::Index>().prop_map(Input::Leave),
        2 => (1..900_u64).prop_map(Input::Pass),
    ];
    prop::collection::vec(input, 1..200)
}

fn config() -> ProptestConfig {
    ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(13), ..Default::default() }
}

proptest! {
    #![proptest_config(config())]

    /// Every call that waits is started, expired or taken out, once, and in its time.
    #[test]
    fn none_lost(inputs in inputs()) {
        let options = Options { max_waiting: 20, initial_rate: 1_000.0, ..Options::default() };
        let mut gate = Queue::new(options);
        let mut naive: HashMap<WaiterId, Duration> = HashMap::new();
        let mut now = ms(0);
        for input in inputs {
            match input {
                Input::Arrive(team, wait) => {
                    if let Ok(ticket) = gate.enqueue(&arrival(&team.to_string(), 1, ms(wait)), now) {
                        prop_assert!(naive.insert(ticket, now + ms(wait)).is_none());
                    }
                }
                Input::Start => match gate.start_next(now) {
                    Some(ticket) => prop_assert!(naive.remove(&ticket).is_some()),
                    None => prop_assert!(naive.is_empty()),
                },
                Input::Leave(at) => {
                    let mut tickets: Vec<WaiterId> = naive.keys().copied().collect();
                    tickets.sort();
                    if !tickets.is_empty() {
                        let ticket = tickets[at.index(tickets.len())];
                        prop_assert!(gate.remove(ticket));
                        naive.remove(&ticket);
                    }
                }
                Input::Pass(time) => {
                    now += ms(time);
                    let expired = gate.expire(now);
                    for ticket in &expired {
                        prop_assert!(naive.remove(ticket).is_some_and(|deadline| deadline <= now));
                    }
                    prop_assert!(naive.values().all(|deadline| *deadline > now));
                }
            }
            prop_assert_eq!(gate.waiting(), naive.len());
            prop_assert!(gate.waiting() <= 20);
        }
    }

    /// Teams that always wait get starts in proportion to their weights.
    #[test]
    fn weighted_shares(weights in prop::collection::vec(1..6_u32, 2..5)) {
        let options = Options { max_waiting: 4_000, max_team_share: 1.0, initial_rate: 1e6 };
        let mut gate = Queue::new(options);
        let mut owner = HashMap::new();
        for (team, weight) in weights.iter().enumerate() {
            for _ in 0..600 {
                let arrival = arrival(&team.to_string(), *weight, Duration::from_secs(900));
                owner.insert(gate.enqueue(&arrival, ms(0)).unwrap(), team);
            }
        }
        let mut starts = vec![0_u32; weights.len()];
        let rounds = 100;
        let total: u32 = weights.iter().sum();
        for _ in 0..rounds * total {
            let ticket = gate.start_next(ms(1)).unwrap();
            starts[owner[&ticket]] += 1;
        }
        for (team, weight) in weights.iter().enumerate() {
            prop_assert!(starts[team].abs_diff(weight * rounds) <= total);
        }
    }
}

#[test]
fn small_team_served() {
    // A team that floods does not delay one that asks for little.
    let options = Options { initial_rate: 1_000.0, ..Options::default() };
    let mut gate = Queue::new(options);
    let wait = Duration::from_secs(60);
    while gate.enqueue(&arrival("large", 1, wait), ms(0)).is_ok() {}
    let small = gate.enqueue(&arrival("small", 1, wait), ms(1)).unwrap();
    let first: Vec<WaiterId> = (0..2).filter_map(|_| gate.start_next(ms(2))).collect();
    assert!(first.contains(&small));
}

#[test]
fn flood_refused() {
    let mut gate = Queue::new(Options { max_waiting: 10, initial_rate: 1e6, ..Options::default() });
    let call = arrival("large", 1, Duration::from_secs(60));
    (0..5).for_each(|_| assert_matches!(gate.enqueue(&call, ms(0)), Ok(_)));
    assert_matches!(gate.enqueue(&call, ms(0)), Err(Refusal::TeamCrowded { .. }));
}

#[test]
fn late_refused_at_once() {
    let mut gate = Queue::new(Options { initial_rate: 1.0, ..Options::default() });
    let call = arrival("a", 1, Duration::from_secs(2));
    assert_matches!(gate.enqueue(&call, ms(0)), Ok(_));
    assert_matches!(gate.enqueue(&call, ms(0)), Ok(_));
    assert_matches!(gate.enqueue(&call, ms(0)), Err(Refusal::TooLate { .. }));
}
