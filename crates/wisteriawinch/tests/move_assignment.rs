//! Assignment of requests to versions during a move, from the facts that a daemon received.

use std::time::Duration;

use winch_config::object::Move;
use winch_gossip::facts::Fact;
use winch_move::verdict::{Record, Verdict};
use wisteriawinch::{
    prelude::unix_now,
    rollout::{GRANT_TTL, Rollouts, fault_fact, grant_fact, verdict_fact},
};

const NOW: Duration = Duration::from_secs(100);
/// Request number that any share above zero selects for the new version.
const SELECTED: u64 = 0;

fn rollouts(facts: &[Fact]) -> Rollouts {
    let spec = Move {
        name: "m".into(),
        route: "layout".into(),
        from: "v1".into(),
        to: "v2".into(),
        start: unix_now() - 10,
        deadline: unix_now() + 1_000,
        cancelled: false,
    };
    let mut rollouts = Rollouts::default();
    rollouts.sync([&spec].into_iter());
    facts.iter().for_each(|fact| assert!(rollouts.apply(fact, NOW)));
    rollouts
}

fn version(rollouts: &Rollouts, request: u64, now: Duration, isolated: bool) -> String {
    let assignment = rollouts.assign("layout", &"v1".into(), request, now, isolated, |_| 35);
    assignment.version.to_string()
}

fn grant(stage: u32) -> Fact {
    grant_fact("m", stage, "entry-1", u64::from(stage) + 1)
}

fn verdict(verdict: Verdict) -> Fact {
    verdict_fact("m", &Record { verdict: Some(verdict), ..Record::default() })
}

#[test]
fn granted_share() {
    let rollouts = rollouts(&[grant(1)]);
    assert_eq!(version(&rollouts, SELECTED, NOW, false), "v2");
    assert_eq!(version(&rollouts, u64::MAX / 2, NOW, false), "v1");
}

#[test]
fn no_grant() {
    assert_eq!(version(&rollouts(&[]), SELECTED, NOW, false), "v1");
}

#[test]
fn isolated_daemon() {
    let rollouts = rollouts(&[grant(5)]);
    assert_eq!(version(&rollouts, SELECTED, NOW, true), "v1");
    // A grant that the holder no longer refreshes expires.
    assert_eq!(version(&rollouts, SELECTED, NOW + GRANT_TTL, false), "v1");
}

#[test]
fn fault_reported() {
    assert_eq!(version(&rollouts(&[grant(5), fault_fact("m")]), SELECTED, NOW, false), "v1");
}

#[test]
fn older_grant_ignored() {
    // A grant of a holder that was paused must not replace one of a newer holder.
    let rollouts = rollouts(&[grant(3), grant_fact("m", 5, "entry-9", 1)]);
    assert_eq!(version(&rollouts, u64::MAX / 2, NOW, false), "v1");
}

#[test]
fn verdicts_applied() {
    for (end, expected) in [
        (Verdict::Completed, "v2"),
        (Verdict::TakenBack, "v1"),
        (Verdict::Expired, "v1"),
        (Verdict::Cancelled, "v1"),
    ] {
        let rollouts = rollouts(&[grant(5), verdict(end)]);
        assert_eq!(version(&rollouts, SELECTED, NOW, false), expected);
    }
}

#[test]
fn first_verdict_kept() {
    let rollouts = rollouts(&[verdict(Verdict::TakenBack), verdict(Verdict::Completed)]);
    assert_eq!(version(&rollouts, SELECTED, NOW, false), "v1");
}

// Guards against a version that was taken back and serves again with the next move: a move names the
// version that it comes from.
#[test]
fn next_move_skips_rejected() {
    let deadline = unix_now() + 1_000;
    let spec = |name: &str, to: &str| Move {
        name: name.into(),
        route: "layout".into(),
        from: "v1".into(),
        to: to.into(),
        start: unix_now() - 10,
        deadline,
        cancelled: false,
    };
    let (first, second) = (spec("m", "v2"), spec("n", "v3"));
    let mut rollouts = Rollouts::default();
    rollouts.sync([&first].into_iter());
    assert!(rollouts.apply(&verdict(Verdict::TakenBack), NOW));
    rollouts.sync([&first, &second].into_iter());
    assert_eq!(version(&rollouts, SELECTED, NOW, false), "v1");
    assert!(rollouts.apply(&grant_fact("n", 3, "entry-1", 4), NOW));
    for request in [SELECTED, u64::MAX / 8, u64::MAX / 2, u64::MAX] {
        assert_ne!(version(&rollouts, request, NOW, false), "v2");
    }
    rollouts.record_success("v2", Duration::from_millis(5), Duration::from_millis(1));
    let (new, old) = rollouts.get_mut("n").expect("configured").pooled();
    assert_eq!((new.good, old.good), (0, 0), "nor are its results evidence");
}
