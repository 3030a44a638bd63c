//! The replicas that may serve requests while a service is moved to another version, and the
//! counts of attempts on both versions.

mod common;

use std::{sync::Arc, time::Duration};

use common::replica;
use proptest::{prelude::*, test_runner::RngSeed};
use tokio::time::Instant;
use winch_move::{
    evidence::{Cohort, Tally},
    verdict::Verdict,
};
use winch_relay::{
    moves::{Counts, Evidence, Progress, REPORT_TTL, Rollouts, Rule, STAGE_TTL, Spec},
    replica::Replica,
};
use winch_roster::position::Position;

/// Ten replicas of the old version and ten of the new one.
fn both_versions() -> Vec<Replica> {
    (1..=20).map(|number| replica(number, if number <= 10 { "v1" } else { "v2" })).collect()
}

fn revision(era: u64, version: u64) -> Position {
    Position { era, version }
}

fn spec_at(revision: Position) -> Spec {
    let within = Duration::from_secs(30);
    Spec { service: "s".into(), to: "v2".into(), within, revision }
}

fn spec(version: u64) -> Spec {
    spec_at(revision(1, version))
}

fn progress_at(stage: u32, now: Instant) -> Progress {
    Progress { spec: spec(7), stage, confirmed_at: Some(now), fault: false, verdict: None }
}

/// Versions of the replicas that may serve a request of `cohort`, one for each replica.
fn allowed_versions(rollouts: &Rollouts, cohort: Cohort, now: Instant) -> Vec<Arc<str>> {
    let replicas = both_versions();
    let rule = rollouts.rule("s", cohort, replicas.iter(), now);
    replicas.iter().filter(|replica| rule.allows(replica)).map(|r| r.version.clone()).collect()
}

#[test]
fn unmoved_service_unrestricted() {
    let rollouts = Rollouts::default();
    assert_eq!(rollouts.rule("s", Cohort::Old, both_versions().iter(), Instant::now()), Rule::Any);
}

#[test]
fn no_traffic_before_stage() {
    let (mut rollouts, now) = (Rollouts::default(), Instant::now());
    assert!(rollouts.start(spec(7)));
    assert!(!rollouts.start(spec(7)), "the same move does not start twice");
    for cohort in [Cohort::Old, Cohort::New] {
        assert!(allowed_versions(&rollouts, cohort, now).iter().all(|version| &**version == "v1"));
    }
}

#[test]
fn unconfirmed_stage_expires() {
    let (mut rollouts, now) = (Rollouts::default(), Instant::now());
    rollouts.apply(progress_at(3, now));
    assert!(allowed_versions(&rollouts, Cohort::New, now).iter().all(|version| &**version == "v2"));
    let later = now + STAGE_TTL;
    assert!(
        allowed_versions(&rollouts, Cohort::New, later).iter().all(|version| &**version == "v1")
    );
}

#[test]
fn small_share_few_replicas() {
    let (mut rollouts, now) = (Rollouts::default(), Instant::now());
    rollouts.apply(progress_at(1, now));
    assert_eq!(allowed_versions(&rollouts, Cohort::New, now).len(), 1);
    rollouts.apply(progress_at(4, now));
    assert_eq!(allowed_versions(&rollouts, Cohort::New, now).len(), 5);
}

#[test]
fn fault_stops_traffic() {
    let (mut rollouts, now) = (Rollouts::default(), Instant::now());
    rollouts.apply(progress_at(4, now));
    rollouts.apply(Progress { fault: true, confirmed_at: None, ..progress_at(0, now) });
    assert!(allowed_versions(&rollouts, Cohort::New, now).iter().all(|version| &**version == "v1"));
}

#[test]
fn completed_excludes_old() {
    let (mut rollouts, now) = (Rollouts::default(), Instant::now());
    rollouts.apply(Progress { verdict: Some(Verdict::Completed), ..progress_at(5, now) });
    let later = now + 2 * STAGE_TTL;
    let versions = allowed_versions(&rollouts, Cohort::Old, later);
    assert!(versions.len() == 10 && versions.iter().all(|version| &**version == "v2"));
}

#[test]
fn lone_faulty_version_excluded() {
    let (mut rollouts, now) = (Rollouts::default(), Instant::now());
    rollouts.apply(Progress { verdict: Some(Verdict::TakenBack), ..progress_at(1, now) });
    let new = [replica(11, "v2")];
    assert!(!rollouts.rule("s", Cohort::Old, new.iter(), now).allows(&new[0]));
}

#[test]
fn first_verdict_final() {
    let (mut rollouts, now) = (Rollouts::default(), Instant::now());
    rollouts.apply(Progress { verdict: Some(Verdict::TakenBack), ..progress_at(1, now) });
    rollouts.apply(Progress { verdict: Some(Verdict::Completed), ..progress_at(5, now) });
    rollouts.start(spec(6));
    let verdict = rollouts.get("s").unwrap().progress().verdict;
    assert_eq!(verdict, Some(Verdict::TakenBack));
    assert!(rollouts.start(spec(8)), "a later move replaces an earlier one");
    assert!(rollouts.any_open());
}

#[test]
fn repeated_instruction_continues() {
    let (mut rollouts, now) = (Rollouts::default(), Instant::now());
    rollouts.apply(Progress { fault: true, ..progress_at(2, now) });
    // Versions of the new era are lower.
    assert!(rollouts.start(spec_at(revision(2, 3))));
    let rollout = rollouts.get("s").expect("known");
    assert!(rollout.progress().fault, "the evidence is kept");
    assert_eq!(rollout.progress().spec.revision, revision(2, 3));
    assert!(!rollout.is_unrecorded(), "there is no verdict yet");
    assert!(rollouts.start(spec_at(revision(2, 4))), "a later instruction starts anew");
    assert!(!rollouts.get("s").expect("known").progress().fault);
}

#[test]
fn lost_verdict_unrecorded() {
    let (mut rollouts, now) = (Rollouts::default(), Instant::now());
    rollouts.apply(Progress { verdict: Some(Verdict::Completed), ..progress_at(2, now) });
    assert_eq!(rollouts.unfinished(), []);
    rollouts.start(spec_at(revision(2, 3)));
    assert!(!rollouts.any_open(), "the verdict is final");
    assert_eq!(rollouts.unfinished(), [spec_at(revision(2, 3))]);
    rollouts.mark_recorded(&spec_at(revision(2, 3)));
    assert_eq!(rollouts.unfinished(), []);
}

#[test]
fn other_target_starts_anew() {
    let (mut rollouts, now) = (Rollouts::default(), Instant::now());
    rollouts.apply(Progress { verdict: Some(Verdict::Completed), ..progress_at(2, now) });
    rollouts.start(Spec { to: "v3".into(), ..spec_at(revision(2, 3)) });
    assert!(rollouts.any_open());
}

#[test]
fn reported_counts_expire() {
    let (mut rollouts, now) = (Rollouts::default(), Instant::now());
    rollouts.apply(progress_at(1, now));
    let tally = Tally { good: 5, failed: 2, slow: 1 };
    let counts = Counts { new: tally, old: Tally::default() };
    let evidence = Evidence { service: "s".into(), revision: revision(1, 7), stage: 1, counts };
    rollouts.apply_report(&"daemon-2".into(), evidence.clone(), now);
    rollouts.apply_report(&"daemon-2".into(), evidence.clone(), now);
    rollouts.apply_report(&"daemon-3".into(), Evidence { stage: 2, ..evidence.clone() }, now);
    rollouts.apply_report(
        &"daemon-4".into(),
        Evidence { revision: revision(1, 6), ..evidence },
        now,
    );
    rollouts.record_error_reply(&replica(11, "v2"));
    rollouts.record_success(&replica(1, "v1"), Duration::from_millis(10), None);
    let counted = rollouts.get("s").unwrap().counts(now);
    assert_eq!(counted.new, Tally { failed: 3, ..tally });
    assert_eq!(counted.old.good, 1);
    let later = rollouts.get("s").unwrap().counts(now + REPORT_TTL);
    assert_eq!(later.new, Tally { failed: 1, ..Tally::default() });
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// After a fault nothing is sent to the new version, whatever progress arrives in
    /// whatever order.
    #[test]
    fn no_traffic_after_fault(
        steps in proptest::collection::vec((0_u32..6, 0_u64..3_000, any::<bool>()), 1..30),
        number in any::<u64>(),
    ) {
        let (mut rollouts, start) = (Rollouts::default(), Instant::now());
        let mut faulty = false;
        for (stage, ms, fault) in steps {
            let now = start + Duration::from_millis(ms);
            rollouts.apply(Progress { fault, ..progress_at(stage, now) });
            faulty |= fault;
            let cohort = rollouts.draw("s", number, both_versions().iter(), now);
            if faulty {
                prop_assert_eq!(cohort, Cohort::Old);
                let versions = allowed_versions(&rollouts, Cohort::New, now);
                prop_assert!(versions.iter().all(|version| &**version == "v1"));
            }
        }
    }
}
