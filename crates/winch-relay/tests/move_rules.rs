//! Which replicas may serve while a service is moved to another version.

use std::{sync::Arc, time::Duration};

use proptest::{prelude::*, test_runner::RngSeed};
use tokio::time::Instant;
use winch_move::{
    evidence::{Cohort, Tally},
    verdict::Verdict,
};
use winch_relay::{
    moves::{Counts, Evidence, Order, Progress, Rule, STAGE_LIFE, TOLD_LIFE, Trials},
    replica::Replica,
};

fn replica(number: u16, version: &str) -> Replica {
    Replica {
        id: format!("i-{number}").into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], number).into(),
        dc: "a".into(),
        version: version.into(),
        slots: 6,
        draining: false,
        born_ms: None,
    }
}

/// Ten replicas of the old version and ten of the new one.
fn both() -> Vec<Replica> {
    (1..=20).map(|number| replica(number, if number <= 10 { "v1" } else { "v2" })).collect()
}

fn order(revision: u64) -> Order {
    let within = Duration::from_secs(30);
    Order { service: "s".into(), to: "v2".into(), within, revision }
}

fn at(stage: u32, now: Instant) -> Progress {
    Progress { order: order(7), stage, heard: Some(now), fault: false, verdict: None }
}

fn allowed(trials: &Trials, side: Cohort, now: Instant) -> Vec<Arc<str>> {
    let replicas = both();
    let rule = trials.rule("s", side, replicas.iter(), now);
    replicas.iter().filter(|replica| rule.allows(replica)).map(|r| r.version.clone()).collect()
}

#[test]
fn unmoved_service_uses_all() {
    let trials = Trials::default();
    assert_eq!(trials.rule("s", Cohort::Old, both().iter(), Instant::now()), Rule::Any);
}

#[test]
fn nothing_before_a_stage() {
    let (mut trials, now) = (Trials::default(), Instant::now());
    assert!(trials.order(order(7)));
    assert!(!trials.order(order(7)), "the same order is no news");
    for side in [Cohort::Old, Cohort::New] {
        assert!(allowed(&trials, side, now).iter().all(|version| &**version == "v1"));
    }
}

#[test]
fn stage_lapses_unheard() {
    let (mut trials, now) = (Trials::default(), Instant::now());
    trials.learn(at(3, now));
    assert!(allowed(&trials, Cohort::New, now).iter().all(|version| &**version == "v2"));
    let later = now + STAGE_LIFE;
    assert!(allowed(&trials, Cohort::New, later).iter().all(|version| &**version == "v1"));
}

#[test]
fn small_share_loads_few_replicas() {
    let (mut trials, now) = (Trials::default(), Instant::now());
    trials.learn(at(1, now));
    assert_eq!(allowed(&trials, Cohort::New, now).len(), 1);
    trials.learn(at(4, now));
    assert_eq!(allowed(&trials, Cohort::New, now).len(), 5);
}

#[test]
fn fault_stops_at_once() {
    let (mut trials, now) = (Trials::default(), Instant::now());
    trials.learn(at(4, now));
    trials.learn(Progress { fault: true, heard: None, ..at(0, now) });
    assert!(allowed(&trials, Cohort::New, now).iter().all(|version| &**version == "v1"));
}

#[test]
fn completed_leaves_the_old() {
    let (mut trials, now) = (Trials::default(), Instant::now());
    trials.learn(Progress { verdict: Some(Verdict::Completed), ..at(5, now) });
    let later = now + 2 * STAGE_LIFE;
    let versions = allowed(&trials, Cohort::Old, later);
    assert!(versions.len() == 10 && versions.iter().all(|version| &**version == "v2"));
}

#[test]
fn faulty_version_not_used_alone() {
    let (mut trials, now) = (Trials::default(), Instant::now());
    trials.learn(Progress { verdict: Some(Verdict::TakenBack), ..at(1, now) });
    let new = [replica(11, "v2")];
    assert!(!trials.rule("s", Cohort::Old, new.iter(), now).allows(&new[0]));
}

#[test]
fn first_verdict_stays() {
    let (mut trials, now) = (Trials::default(), Instant::now());
    trials.learn(Progress { verdict: Some(Verdict::TakenBack), ..at(1, now) });
    trials.learn(Progress { verdict: Some(Verdict::Completed), ..at(5, now) });
    trials.order(order(6));
    let verdict = trials.get("s").unwrap().progress().verdict;
    assert_eq!(verdict, Some(Verdict::TakenBack));
    assert!(trials.order(order(8)), "a later order starts afresh");
    assert!(trials.any_open());
}

#[test]
fn counts_pool_and_lapse() {
    let (mut trials, now) = (Trials::default(), Instant::now());
    trials.learn(at(1, now));
    let tally = Tally { good: 5, failed: 2, slow: 1 };
    let counts = Counts { new: tally, old: Tally::default() };
    let evidence = Evidence { service: "s".into(), revision: 7, stage: 1, counts };
    trials.told(&"daemon-2".into(), evidence.clone(), now);
    trials.told(&"daemon-2".into(), evidence.clone(), now);
    trials.told(&"daemon-3".into(), Evidence { stage: 2, ..evidence.clone() }, now);
    trials.told(&"daemon-4".into(), Evidence { revision: 6, ..evidence }, now);
    trials.answered_badly(&replica(11, "v2"));
    trials.good(&replica(1, "v1"), Duration::from_millis(10), None);
    let counted = trials.get("s").unwrap().counts(now);
    assert_eq!(counted.new, Tally { failed: 3, ..tally });
    assert_eq!(counted.old.good, 1);
    let later = trials.get("s").unwrap().counts(now + TOLD_LIFE);
    assert_eq!(later.new, Tally { failed: 1, ..Tally::default() });
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// Whatever is heard in whatever order, nothing goes to a version after its fault.
    #[test]
    fn no_use_after_fault(
        steps in proptest::collection::vec((0_u32..6, 0_u64..3_000, any::<bool>()), 1..30),
        number in any::<u64>(),
    ) {
        let (mut trials, start) = (Trials::default(), Instant::now());
        let mut faulty = false;
        for (stage, ms, fault) in steps {
            let now = start + Duration::from_millis(ms);
            trials.learn(Progress { fault, ..at(stage, now) });
            faulty |= fault;
            let side = trials.draw("s", number, both().iter(), now);
            if faulty {
                prop_assert_eq!(side, Cohort::Old);
                let versions = allowed(&trials, Cohort::New, now);
                prop_assert!(versions.iter().all(|version| &**version == "v1"));
            }
        }
    }
}
