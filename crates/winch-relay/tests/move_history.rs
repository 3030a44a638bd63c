//! The versions that may serve after several instructions for one service, and whose results count.

mod common;

use std::{sync::Arc, time::Duration};

use common::replica;
use tokio::time::Instant;
use winch_move::{evidence::Cohort, verdict::Verdict};
use winch_relay::{
    moves::{
        Progress, Rollouts, Rule, Spec,
        history::{Former, History, Versions},
    },
    prelude::Name,
    replica::Replica,
};
use winch_roster::position::Position;

/// Ten replicas of each of these versions.
fn replicas(versions: &[&str]) -> Vec<Replica> {
    versions.iter().flat_map(|version| (0..10).map(|number| replica(number, version))).collect()
}

fn names(versions: &[&str]) -> Vec<Name> {
    versions.iter().map(|version| Name::from(*version)).collect()
}

fn spec_in(era: u64, to: &str, version: u64) -> Spec {
    let revision = Position { era, version };
    Spec { service: "s".into(), to: to.into(), within: Duration::from_secs(30), revision }
}

/// Instructs moves to these versions one after the other, at revisions 1, 2 and so on; each instruction but the last
/// has ended with the verdict beside it.
fn instructed(instructions: &[(&str, Option<Verdict>)]) -> Rollouts {
    let mut rollouts = Rollouts::default();
    for (version, (to, verdict)) in (1..).zip(instructions) {
        let spec = spec_in(1, to, version);
        rollouts.start(spec.clone());
        rollouts.learn_initial("s", names(&["v1"]).into_iter());
        if verdict.is_some() {
            rollouts.apply(progress(spec, 1, *verdict));
        }
    }
    rollouts
}

fn progress(spec: Spec, stage: u32, verdict: Option<Verdict>) -> Progress {
    Progress { spec, stage, confirmed_at: Some(Instant::now()), fault: false, verdict }
}

/// Brings the latest instruction to this stage.
fn advance(rollouts: &mut Rollouts, stage: u32) {
    let spec = rollouts.get("s").expect("instructed").progress().spec.clone();
    rollouts.apply(progress(spec, stage, None));
}

/// The versions of the `listed` replicas that may serve a request of either cohort.
fn served_by(rollouts: &Rollouts, listed: &[Replica]) -> Vec<Arc<str>> {
    let rule = |cohort| rollouts.rule("s", cohort, listed.iter(), Instant::now());
    let rules = [rule(Cohort::Old), rule(Cohort::New)];
    let is_allowed = |replica: &&Replica| rules.iter().any(|rule| rule.allows(replica));
    let mut versions: Vec<_> =
        listed.iter().filter(is_allowed).map(|r| r.version.clone()).collect();
    versions.dedup();
    versions
}

// Guards against a bad version that gets traffic again after the next instruction (EXPOSURE, review/14).
#[test]
fn rejected_version_left_out() {
    for verdict in [Verdict::TakenBack, Verdict::Expired, Verdict::Cancelled] {
        let mut rollouts = instructed(&[("v2", Some(verdict)), ("v3", None)]);
        let listed = replicas(&["v1", "v2", "v3"]);
        assert_eq!(served_by(&rollouts, &listed), names(&["v1"]), "{verdict:?}");
        for stage in 1..=5 {
            advance(&mut rollouts, stage);
            assert_eq!(served_by(&rollouts, &listed), names(&["v1", "v3"]), "{verdict:?}");
        }
        let rule = rollouts.rule("s", Cohort::New, listed.iter(), Instant::now());
        assert!(rule.excludes("v2"), "nor does it go on from its copies: {rule:?}");
    }
}

// Guards against an open move that is taken for a proven one because another instruction replaced it.
#[test]
fn replaced_move_proves_nothing() {
    let rollouts = instructed(&[("v2", None), ("v3", None)]);
    assert_eq!(served_by(&rollouts, &replicas(&["v1", "v2", "v3"])), names(&["v1"]));
}

// Guards against an instruction back to the version that serves, by which all traffic goes to the other one.
#[test]
fn move_back_serves() {
    for verdict in [None, Some(Verdict::TakenBack)] {
        let mut rollouts = instructed(&[("v2", verdict), ("v1", None)]);
        let listed = replicas(&["v1", "v2"]);
        assert!(rollouts.get("s").expect("instructed").is_established());
        for stage in 0..=5 {
            advance(&mut rollouts, stage);
            assert_eq!(served_by(&rollouts, &listed), names(&["v1"]), "stage {stage}");
        }
        rollouts.start(spec_in(1, "v3", 3));
        assert_eq!(served_by(&rollouts, &replicas(&["v1", "v2", "v3"])), names(&["v1"]));
    }
}

// Guards against evidence and shares that count a rejected version as the old one.
#[test]
fn rejected_version_no_evidence() {
    let mut rollouts = instructed(&[("v2", Some(Verdict::TakenBack)), ("v3", None)]);
    advance(&mut rollouts, 4);
    for number in 0..9 {
        rollouts.record_error_reply(&replica(number, "v2"));
        rollouts.record_success(&replica(number, "v1"), Duration::from_millis(5), None);
        rollouts.record_broken(&replica(number, "v2"), Duration::from_secs(9));
    }
    let counts = rollouts.get("s").expect("instructed").counts(Instant::now());
    assert_eq!((counts.old.good, counts.old.failed, counts.new.failed), (9, 0, 0));
    // Stage 4 takes half as many replicas as there are old ones.
    let mut listed = replicas(&["v1", "v2", "v3"]);
    listed.retain(|replica| &*replica.version != "v1" || replica.address.port() < 4);
    let rule = rollouts.rule("s", Cohort::New, listed.iter(), Instant::now());
    assert!(matches!(&rule, Rule::Only { ids, .. } if ids.len() == 2), "{rule:?}");
}

#[test]
fn two_verdicts_in_row() {
    let instructions =
        [("v2", Some(Verdict::TakenBack)), ("v3", Some(Verdict::Expired)), ("v4", None)];
    let mut rollouts = instructed(&instructions);
    advance(&mut rollouts, 3);
    let listed = replicas(&["v1", "v2", "v3", "v4"]);
    assert_eq!(served_by(&rollouts, &listed), names(&["v1", "v4"]));
}

#[test]
fn version_moved_again() {
    let instructions =
        [("v2", Some(Verdict::TakenBack)), ("v3", Some(Verdict::TakenBack)), ("v2", None)];
    let mut rollouts = instructed(&instructions);
    assert!(!rollouts.get("s").expect("instructed").progress().fault, "it is tried anew");
    advance(&mut rollouts, 3);
    let listed = replicas(&["v1", "v2", "v3"]);
    assert_eq!(served_by(&rollouts, &listed), names(&["v1", "v2"]));
    rollouts.record_error_reply(&replica(1, "v2"));
    let counts = rollouts.get("s").expect("instructed").counts(Instant::now());
    assert_eq!(counts.new.failed, 1, "the evidence of before is gone");
}

#[test]
fn completed_beside_rejected() {
    let instructions = [("v2", Some(Verdict::TakenBack)), ("v3", Some(Verdict::Completed))];
    let rollouts = instructed(&instructions);
    assert_eq!(served_by(&rollouts, &replicas(&["v1", "v2", "v3"])), names(&["v3"]));
    assert_eq!(served_by(&rollouts, &replicas(&["v1", "v2"])), names(&["v1"]));
}

#[test]
fn established_version_serves() {
    let rollouts = instructed(&[("v2", Some(Verdict::Completed)), ("v3", None)]);
    let listed = replicas(&["v1", "v2", "v3"]);
    assert_eq!(served_by(&rollouts, &listed), names(&["v2"]), "v1 was replaced");
    assert_eq!(served_by(&rollouts, &replicas(&["v1", "v3"])), names(&["v1"]), "better than none");
}

// Only bad versions are left: callers are refused, since these were found bad.
#[test]
fn only_rejected_left() {
    let rollouts = instructed(&[("v2", Some(Verdict::TakenBack)), ("v3", None)]);
    assert_eq!(served_by(&rollouts, &replicas(&["v2"])), names(&[]));
    assert_eq!(served_by(&rollouts, &replicas(&["v2", "v3"])), names(&["v3"]));
}

// Guards against an expired move whose version is the only one left, and is refused for no fault.
#[test]
fn expired_alone_serves() {
    let rollouts = instructed(&[("v2", Some(Verdict::Expired))]);
    assert_eq!(served_by(&rollouts, &replicas(&["v2"])), names(&["v2"]));
    assert_eq!(served_by(&rollouts, &replicas(&["v1", "v2"])), names(&["v1"]));
}

// Guards against an instruction of before the present one, which the store has again after it came back from a copy.
#[test]
fn copied_instruction_ignored() {
    let mut rollouts = instructed(&[("v2", Some(Verdict::TakenBack)), ("v3", None)]);
    advance(&mut rollouts, 2);
    assert!(!rollouts.start(spec_in(2, "v2", 1)), "it has the version of before");
    let listed = replicas(&["v1", "v2", "v3"]);
    assert_eq!(served_by(&rollouts, &listed), names(&["v1", "v3"]));
    assert!(rollouts.start(spec_in(2, "v3", 2)), "the present instruction is written again");
    assert_eq!(rollouts.get("s").expect("instructed").progress().stage, 2, "it goes on");
    assert!(rollouts.start(spec_in(2, "v2", 3)), "this one is new");
}

// Guards against a version that counts as released, or a verdict that is lost, with the news of others.
#[test]
fn histories_merge() {
    let former = |to: &str, version, verdict| {
        let revision = Position { era: 1, version };
        Former { to: to.into(), revision, verdict }
    };
    let (open, ended) = (former("v2", 1, None), former("v2", 1, Some(Verdict::Completed)));
    let known = History { initial: names(&["v1"]), former: vec![open], ..History::default() };
    let told = History { former: vec![ended], ..History::default() };
    for (mut own, other) in [(known.clone(), &told), (told.clone(), &known)] {
        own.merge(other);
        let versions = own.versions();
        let expected =
            Versions { serving: names(&["v2"]), rejected: names(&[]), replaced: names(&["v1"]) };
        assert_eq!(versions, expected);
    }
    let recorded = History { is_recorded: true, ..told };
    let mut own = known.clone();
    own.merge(&recorded);
    assert_eq!((own.former.clone(), own.initial.clone()), (recorded.former, names(&["v1"])));
    own.merge(&History { former: vec![former("v9", 9, None)], ..known });
    assert_eq!(own.former.len(), 1, "what the store has stays");
}

// Guards against a daemon that starts after an instruction, and takes what is listed then for what serves.
#[test]
fn listed_version_unproven() {
    let mut rollouts = Rollouts::default();
    rollouts.start(spec_in(1, "v3", 2));
    rollouts.learn_initial("s", names(&["v2", "v1"]).into_iter());
    let revision = Position { era: 1, version: 1 };
    let former = Former { to: "v2".into(), revision, verdict: Some(Verdict::TakenBack) };
    let told = History { former: vec![former], ..History::default() };
    for is_recorded in [false, true] {
        let told = History { is_recorded, ..told.clone() };
        rollouts.apply_history("s", Position { era: 1, version: 2 }, &told);
        assert_eq!(served_by(&rollouts, &replicas(&["v1", "v2", "v3"])), names(&["v1"]));
    }
}

#[test]
fn long_history_bounded() {
    let mut history = History { initial: names(&["v0"]), ..History::default() };
    for version in 1..=99 {
        let verdict = (version == 5).then_some(Verdict::Completed);
        let revision = Position { era: 1, version };
        history.insert(Former { to: format!("v{version}").into(), revision, verdict });
    }
    assert!(history.former.len() <= 16);
    assert_eq!(history.versions().serving, names(&["v5"]));
}
