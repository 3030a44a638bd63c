//! Publication under concurrent changes, platform outages and lost responses.

use assert_matches::assert_matches;
use proptest::prelude::*;
use winch_config::{
    change::Edit,
    load::{head, load},
    object::{Object, Version},
    publish::{Error, Options, publish},
    set::Set,
};
use winch_platform::memory::{Fault, Memory};

fn edit(name: &str) -> Edit {
    let version = Version { name: name.into(), model: "m".into() };
    Edit { puts: vec![Object::Version(version).into()], deletes: Vec::new() }
}

fn options(name: &str, base: Option<u64>, nonce: u64) -> Options {
    Options { edit: edit(name), base, nonce }
}

#[tokio::test]
async fn conflict_reported() {
    let platform = Memory::default();
    let start = Set::default();
    assert_matches!(publish(&platform, &start, &options("v1", Some(0), 1)).await, Ok(_));
    let second = publish(&platform, &start, &options("v1", Some(0), 2)).await;
    assert_matches!(second, Err(Error::Conflict { base: 0, head: 1, objects }) => {
        let names: Vec<String> = objects.iter().map(ToString::to_string).collect();
        assert_eq!(names, ["version/v1"]);
    });
    // Without a base the change is retried on top of the committed one.
    assert_matches!(publish(&platform, &start, &options("v2", None, 3)).await, Ok(outcome) => {
        assert_eq!(outcome.set.revision(), 2);
        assert_eq!(outcome.set.versions().count(), 2);
    });
}

#[tokio::test]
async fn lost_response_resolved() {
    let platform = Memory::default();
    platform.set_fault(Fault { lose_answers: 1, ..Fault::default() });
    let outcome = publish(&platform, &Set::default(), &options("v1", Some(0), 1)).await;
    assert_matches!(outcome, Ok(outcome) if outcome.change.revision == 1);
    assert_eq!(head(&platform).await.unwrap(), 1);
}

#[tokio::test]
async fn lost_request_unknown() {
    let platform = Memory::default();
    platform.set_fault(Fault { lose_requests: 1, ..Fault::default() });
    let outcome = publish(&platform, &Set::default(), &options("v1", Some(0), 1)).await;
    assert_matches!(outcome, Err(Error::Unknown { nonce: 1, .. }));
}

#[tokio::test]
async fn outage_commits_nothing() {
    let platform = Memory::default();
    platform.set_fault(Fault { outage: true, ..Fault::default() });
    let outcome = publish(&platform, &Set::default(), &options("v1", None, 1)).await;
    assert_matches!(outcome, Err(Error::Load { .. }));
    platform.set_fault(Fault::default());
    assert_eq!(head(&platform).await.unwrap(), 0);
}

#[tokio::test]
async fn snapshot_loaded() {
    let platform = Memory::default();
    let mut set = Set::default();
    for number in 0..100 {
        let options = options(&format!("v{number}"), Some(set.revision()), number);
        set = publish(&platform, &set, &options).await.unwrap().set;
    }
    let fresh = load(&platform, &Set::default()).await.unwrap();
    assert_eq!(fresh, set);
}

fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(10),
        cases: 64,
        ..Default::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed())]

    /// Operators publish concurrently while commits fail: the revisions form one linear
    /// history, and it contains every accepted change.
    #[test]
    fn linear_history(calls in prop::collection::vec(
        (0..3_usize, 0..3_u32, 0..2_u32, prop::bool::weighted(0.2), any::<bool>()), 1..20)) {
        let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
        let platform = Memory::default();
        let mut known = [Set::default(), Set::default(), Set::default()];
        let mut accepted = Vec::new();
        for (nonce, (operator, lose_answers, lose_requests, outage, has_base)) in calls.into_iter().enumerate() {
            platform.set_fault(Fault { outage, lose_answers, lose_requests });
            let base = has_base.then(|| known[operator].revision());
            let options = options(&format!("v{nonce}"), base, nonce as u64);
            if let Ok(outcome) = runtime.block_on(publish(&platform, &known[operator], &options)) {
                prop_assert!(outcome.set.revision() > known[operator].revision());
                accepted.push((outcome.change.revision, format!("v{nonce}")));
                known[operator] = outcome.set;
            }
        }
        platform.set_fault(Fault::default());
        let last = runtime.block_on(load(&platform, &Set::default())).unwrap();
        let mut revisions: Vec<u64> = accepted.iter().map(|(revision, _)| *revision).collect();
        revisions.dedup();
        prop_assert_eq!(revisions.len(), accepted.len());
        for (_, name) in accepted {
            prop_assert!(last.version(&name).is_some());
        }
        for set in known {
            prop_assert!(set.revision() <= last.revision());
        }
    }
}
