//! Retries stay within their budget and resumes within the pacer's limit.

use proptest::prelude::*;
use winch_route::{
    budget::{Budget, Options},
    pace::Pacer,
};

fn config() -> ProptestConfig {
    ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(14), ..Default::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn budget_kept(steps in prop::collection::vec(any::<bool>(), 0..2_000)) {
        let options = Options::default();
        let mut budget = Budget::new(options);
        let (mut first_attempts, mut retries) = (0_f64, 0_f64);
        for is_retry in steps {
            if is_retry {
                retries += f64::from(u8::from(budget.spend()));
            } else {
                budget.earn();
                first_attempts += 1.0;
            }
            prop_assert!(retries <= options.burst + options.ratio * first_attempts + 1e-6);
        }
    }

    #[test]
    fn resumes_paced(steps in prop::collection::vec((0..3_u8, 0..1_000_usize), 0..300), replicas in 0..5_usize) {
        let mut pacer = Pacer::default();
        let (mut waiting, mut running) = (Vec::new(), 0_usize);
        for (step, tokens) in steps {
            match step {
                0 => waiting.push((tokens, pacer.enqueue(tokens))),
                1 => {
                    waiting.retain(|(_, waiter)| {
                        let started = pacer.try_start(*waiter, replicas);
                        running += usize::from(started);
                        !started
                    });
                    // No resume waits while a prefill place is free.
                    let places = (replicas * Pacer::RESUMES_PER_REPLICA).max(1);
                    prop_assert!(waiting.is_empty() || running >= places);
                }
                _ => {
                    if running > 0 {
                        pacer.finish();
                        running -= 1;
                    }
                }
            }
            prop_assert!(running <= (replicas * Pacer::RESUMES_PER_REPLICA).max(1));
            prop_assert_eq!(pacer.waiting(), waiting.len());
        }
    }
}

#[test]
fn longest_first() {
    let mut pacer = Pacer::default();
    let short = pacer.enqueue(5);
    let long = pacer.enqueue(500);
    assert!(!pacer.try_start(short, 0));
    assert!(pacer.try_start(long, 0));
    pacer.finish();
    assert!(pacer.try_start(short, 0));
}
