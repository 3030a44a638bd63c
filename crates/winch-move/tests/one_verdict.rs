//! A move ends with one verdict, across changes of the lease holder and late writes.

use assert_matches::assert_matches;
use proptest::prelude::*;
use winch_move::{
    evidence::{Options, Tally},
    machine::{Decision, Input, Machine, Window},
    schedule,
    verdict::{Record, Verdict},
};

const WINDOW: Window = Window { start: 0.0, deadline: 300.0 };

/// Counts of a version that does not fail.
fn good_tally(count: u64) -> Tally {
    Tally { good: count, failed: 0, slow: count / 10 }
}

fn input(now: f64, new: Tally) -> Input {
    Input { now, new, old: good_tally(2_000), lease_held: true, ..Input::default() }
}

fn config() -> ProptestConfig {
    ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(16), ..Default::default() }
}

/// A daemon that holds or held the lease; after a pause it acts on outdated state.
#[derive(Debug)]
struct Holder {
    fence: u64,
    machine: Machine,
}

proptest! {
    #![proptest_config(config())]

    /// While lease holders change and former ones write late, the record keeps its first verdict.
    #[test]
    fn verdict_final(steps in prop::collection::vec(
        (0..3_usize, 0..40_u32, 0..400_u64, 0..40_u64, prop::bool::weighted(0.05), any::<bool>()), 1..80)) {
        let mut record = Record::default();
        let mut holders: Vec<Holder> = Vec::new();
        let (mut now, mut verdict) = (0.0, None);
        for (holder_age, elapsed, good_count, failed, fault_found, takes_over) in steps {
            now += f64::from(elapsed);
            if takes_over || holders.is_empty() {
                let fence = holders.len() as u64 + 1;
                holders.push(Holder { fence, machine: Machine::new(WINDOW, Options::default(), record.stage, now) });
            }
            let index = holders.len().saturating_sub(1 + holder_age % holders.len());
            let is_newest = index + 1 == holders.len();
            let holder = &mut holders[index];
            let stage = holder.machine.stage();
            let step = Input { fault_found, lease_held: is_newest, ..input(now, Tally { failed: failed / 20, ..good_tally(good_count) }) };
            let next = match holder.machine.step(&step) {
                Decision::Hold => continue,
                Decision::Advance(next) => {
                    prop_assert!(is_newest, "advanced without the lease");
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

/// Without `updated_with` the last writer wins and a verdict can change.
#[test]
fn overwrite_changes_verdict() {
    let written = [
        Record { verdict: Some(Verdict::TakenBack), fence: 2, ..Record::default() },
        Record { verdict: Some(Verdict::Completed), fence: 1, stage: 5, ..Record::default() },
        Record { verdict: Some(Verdict::Expired), fence: 3, stage: 5, ..Record::default() },
    ];
    let first = written[0].verdict;
    let overwritten = written.iter().fold(Record::default(), |_, next| next.clone());
    let kept = written
        .iter()
        .fold(Record::default(), |record, next| record.updated_with(next).unwrap_or(record));
    assert_ne!(overwritten.verdict, first);
    assert_eq!(kept.verdict, first);
}

#[test]
fn good_completes() {
    let mut machine = Machine::new(WINDOW, Options::default(), 0, 0.0);
    let mut now = 0.0;
    let verdict = loop {
        now += 1.0;
        match machine.step(&input(now, good_tally(200))) {
            Decision::End(verdict, _) => break verdict,
            _ => assert!(now < WINDOW.deadline),
        }
    };
    assert_eq!(verdict, Verdict::Completed);
    assert!(now < WINDOW.deadline * 0.8);
}

#[test]
fn no_evidence_expires() {
    let mut machine = Machine::new(WINDOW, Options::default(), 0, 0.0);
    assert_matches!(machine.step(&input(1.0, Tally::default())), Decision::Advance(1));
    for now in 2..298 {
        assert_matches!(machine.step(&input(f64::from(now), Tally::default())), Decision::Hold);
    }
    assert_matches!(
        machine.step(&input(298.0, Tally::default())),
        Decision::End(Verdict::Expired, _),
        "the verdict must be stored before the deadline"
    );
}

#[test]
fn short_move_expires_in_time() {
    let window = Window { start: 0.0, deadline: 15.0 };
    let mut machine = Machine::new(window, Options::default(), 1, 0.0);
    assert_matches!(machine.step(&input(13.4, Tally::default())), Decision::Hold);
    let step = machine.step(&input(13.5, Tally::default()));
    assert_matches!(step, Decision::End(Verdict::Expired, _));
}

#[test]
fn late_move_detected() {
    let machine = Machine::new(WINDOW, Options::default(), 1, 0.0);
    assert!(!machine.is_late(40.0));
    assert!(machine.is_late(120.0));
}

#[test]
fn cancelled_while_completing() {
    let mut machine = Machine::new(WINDOW, Options::default(), schedule::LAST_STAGE, 0.0);
    let step = Input { cancelled: true, ..input(250.0, good_tally(1_000)) };
    assert_matches!(machine.step(&step), Decision::End(Verdict::Cancelled, _));
}

#[test]
fn advance_needs_lease() {
    let mut machine = Machine::new(WINDOW, Options::default(), 1, 0.0);
    let step = Input { lease_held: false, ..input(100.0, good_tally(1_000)) };
    assert_matches!(machine.step(&step), Decision::Hold);
    let faulty = Input { new: Tally { good: 20, failed: 20, slow: 0 }, ..step };
    assert_matches!(machine.step(&faulty), Decision::End(Verdict::TakenBack, _));
}
