//! A move ends once, whoever holds it and whatever it sees.

use assert_matches::assert_matches;
use proptest::prelude::*;
use winch_move::{
    evidence::{Options, Tally},
    machine::{Decision, Input, Machine, Window},
    schedule,
    verdict::{Record, Verdict},
};

const PLAN: Window = Window { start: 0.0, deadline: 300.0 };

fn good(count: u64) -> Tally {
    Tally { good: count, failed: 0, slow: count / 10 }
}

fn input(now: f64, new: Tally) -> Input {
    Input { now, new, old: good(2_000), lease_held: true, ..Input::default() }
}

fn config() -> ProptestConfig {
    ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(16), ..Default::default() }
}

/// One holder of the lease, perhaps paused: it acts on what it read last.
#[derive(Debug)]
struct Holder {
    fence: u64,
    machine: Machine,
}

proptest! {
    #![proptest_config(config())]

    /// Holders change, pause and act late; the record takes one verdict and keeps it.
    #[test]
    fn verdict_stands(steps in prop::collection::vec(
        (0..3_usize, 0..40_u32, 0..400_u64, 0..40_u64, prop::bool::weighted(0.05), any::<bool>()), 1..80)) {
        let mut record = Record::default();
        let mut holders: Vec<Holder> = Vec::new();
        let (mut now, mut verdict) = (0.0, None);
        for (who, wait, seen, failed, fault, takes) in steps {
            now += f64::from(wait);
            if takes || holders.is_empty() {
                let fence = holders.len() as u64 + 1;
                holders.push(Holder { fence, machine: Machine::new(PLAN, Options::default(), record.stage, now) });
            }
            let at = holders.len().saturating_sub(1 + who % holders.len());
            let newest = at + 1 == holders.len();
            let holder = &mut holders[at];
            let stage = holder.machine.stage();
            let step = Input { fault, lease_held: newest, ..input(now, Tally { failed: failed / 20, ..good(seen) }) };
            let next = match holder.machine.step(&step) {
                Decision::Hold => continue,
                Decision::Advance(next) => {
                    prop_assert!(newest, "raised without the lease");
                    prop_assert_eq!(next, stage + 1);
                    Record { stage: next, fence: holder.fence, ..Record::default() }
                }
                Decision::End(verdict, reason) => Record {
                    stage, fence: holder.fence, verdict: Some(verdict), reason: reason.to_owned(),
                },
            };
            if let Some(next) = record.updated_with(&next) {
                prop_assert!(verdict.is_none());
                verdict = next.verdict;
                record = next;
            }
            prop_assert_eq!(record.verdict, verdict);
        }
    }
}

/// Without `follow` the last writer wins, and a verdict changes.
#[test]
fn naive_record_changes() {
    let written = [
        Record { verdict: Some(Verdict::TakenBack), fence: 2, ..Record::default() },
        Record { verdict: Some(Verdict::Completed), fence: 1, stage: 5, ..Record::default() },
        Record { verdict: Some(Verdict::Expired), fence: 3, stage: 5, ..Record::default() },
    ];
    let first = written[0].verdict;
    let naive = written.iter().fold(Record::default(), |_, next| next.clone());
    let kept = written
        .iter()
        .fold(Record::default(), |record, next| record.updated_with(next).unwrap_or(record));
    assert_ne!(naive.verdict, first);
    assert_eq!(kept.verdict, first);
}

#[test]
fn good_completes() {
    let mut machine = Machine::new(PLAN, Options::default(), 0, 0.0);
    let mut now = 0.0;
    let verdict = loop {
        now += 1.0;
        match machine.step(&input(now, good(200))) {
            Decision::End(verdict, _) => break verdict,
            _ => assert!(now < PLAN.deadline),
        }
    };
    assert_eq!(verdict, Verdict::Completed);
    assert!(now < PLAN.deadline * 0.8);
}

#[test]
fn never_without_evidence() {
    let mut machine = Machine::new(PLAN, Options::default(), 0, 0.0);
    assert_matches!(machine.step(&input(1.0, Tally::default())), Decision::Advance(1));
    for now in 2..300 {
        assert_matches!(machine.step(&input(f64::from(now), Tally::default())), Decision::Hold);
    }
    assert_matches!(
        machine.step(&input(300.0, Tally::default())),
        Decision::End(Verdict::Expired, _)
    );
}

#[test]
fn lateness_told() {
    let machine = Machine::new(PLAN, Options::default(), 1, 0.0);
    assert!(!machine.is_late(40.0));
    assert!(machine.is_late(120.0));
}

#[test]
fn cancelled_while_completing() {
    let mut machine = Machine::new(PLAN, Options::default(), schedule::LAST_STAGE, 0.0);
    let step = Input { cancelled: true, ..input(250.0, good(1_000)) };
    assert_matches!(machine.step(&step), Decision::End(Verdict::Cancelled, _));
}

#[test]
fn no_lease_no_raise() {
    let mut machine = Machine::new(PLAN, Options::default(), 1, 0.0);
    let step = Input { lease_held: false, ..input(100.0, good(1_000)) };
    assert_matches!(machine.step(&step), Decision::Hold);
    let bad = Input { new: Tally { good: 20, failed: 20, slow: 0 }, ..step };
    assert_matches!(machine.step(&bad), Decision::End(Verdict::TakenBack, _));
}
