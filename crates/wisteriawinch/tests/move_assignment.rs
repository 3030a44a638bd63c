//! Where requests go during a move, as one daemon sees it.

use std::time::Duration;

use winch_config::object::Move;
use winch_gossip::facts::Fact;
use winch_move::verdict::{Record, Verdict};
use wisteriawinch::{
    prelude::unix_now,
    rollout::{GRANT_TTL, Rollouts, fault_fact, grant_fact, verdict_fact},
};

const NOW: Duration = Duration::from_secs(100);
/// A request number that every share above zero chooses.
const CHOSEN: u64 = 0;

fn rollouts(facts: &[Fact]) -> Rollouts {
    let planned = Move {
        name: "m".into(),
        route: "layout".into(),
        from: "v1".into(),
        to: "v2".into(),
        start: unix_now() - 10,
        deadline: unix_now() + 1_000,
        cancelled: false,
    };
    let mut rollouts = Rollouts::default();
    rollouts.sync([&planned].into_iter());
    facts.iter().for_each(|fact| assert!(rollouts.apply(fact, NOW)));
    rollouts
}

fn version(rollouts: &Rollouts, request: u64, now: Duration, isolated: bool) -> String {
    let plan = rollouts.assign("layout", &"v1".into(), request, now, isolated, |_| 35);
    plan.version.to_string()
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
    assert_eq!(version(&rollouts, CHOSEN, NOW, false), "v2");
    assert_eq!(version(&rollouts, u64::MAX / 2, NOW, false), "v1");
}

#[test]
fn no_grant() {
    assert_eq!(version(&rollouts(&[]), CHOSEN, NOW, false), "v1");
}

#[test]
fn cut_off() {
    let rollouts = rollouts(&[grant(5)]);
    assert_eq!(version(&rollouts, CHOSEN, NOW, true), "v1");
    // Without word from the holder the grant lapses by itself.
    assert_eq!(version(&rollouts, CHOSEN, NOW + GRANT_TTL, false), "v1");
}

#[test]
fn fault_stops() {
    assert_eq!(version(&rollouts(&[grant(5), fault_fact("m")]), CHOSEN, NOW, false), "v1");
}

#[test]
fn older_grant() {
    // A holder that was paused cannot lower or raise what a newer one granted.
    let rollouts = rollouts(&[grant(3), grant_fact("m", 5, "entry-9", 1)]);
    assert_eq!(version(&rollouts, u64::MAX / 2, NOW, false), "v1");
}

#[test]
fn verdicts_obeyed() {
    for (end, wanted) in [
        (Verdict::Completed, "v2"),
        (Verdict::TakenBack, "v1"),
        (Verdict::Expired, "v1"),
        (Verdict::Cancelled, "v1"),
    ] {
        let rollouts = rollouts(&[grant(5), verdict(end)]);
        assert_eq!(version(&rollouts, CHOSEN, NOW, false), wanted);
    }
}

#[test]
fn first_verdict_stands() {
    let rollouts = rollouts(&[verdict(Verdict::TakenBack), verdict(Verdict::Completed)]);
    assert_eq!(version(&rollouts, CHOSEN, NOW, false), "v1");
}
