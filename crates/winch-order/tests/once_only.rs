//! Orders run at most once, wherever the daemon crashes and whatever the table loses.

use std::sync::atomic::{AtomicUsize, Ordering};

use assert_matches::assert_matches;
use proptest::prelude::*;
use winch_order::{
    claim::{self, Error, Outcome, claim},
    record::{State, StoredReply},
    settle::settle,
};
use winch_platform::memory::{Fault, Memory};

/// The point in a keyed order at which the daemon crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CrashPoint {
    BeforeClaim,
    AfterClaim,
    AfterSend,
    AfterSettle,
    Never,
}

const CRASH_POINTS: [CrashPoint; 5] = [
    CrashPoint::BeforeClaim,
    CrashPoint::AfterClaim,
    CrashPoint::AfterSend,
    CrashPoint::AfterSettle,
    CrashPoint::Never,
];

fn request(nonce: u64, now: u64) -> claim::Request {
    claim::Request {
        team: "box-office".into(),
        key: "reprint-7".into(),
        digest: "d".into(),
        nonce,
        daemon: format!("entry-{nonce}").into(),
        now,
        pending_limit_secs: 60,
    }
}

fn stored_reply() -> StoredReply {
    StoredReply { status: 201, content_type: "text/plain".into(), body: b"cut \xff".to_vec() }
}

/// Runs the order on one daemon; returns the caller's result, or `None` if the daemon crashes.
///
/// `effects` counts how often the upstream runs the order.
async fn run(
    table: &Memory,
    effects: &AtomicUsize,
    nonce: u64,
    now: u64,
    crash: CrashPoint,
) -> Option<&'static str> {
    if crash == CrashPoint::BeforeClaim {
        return None;
    }
    let claim = match claim(table, &request(nonce, now)).await {
        Ok(Outcome::Claimed(claim)) => claim,
        Ok(Outcome::Done(_)) => return Some("done before"),
        Ok(Outcome::InProgress) => return Some("in progress"),
        Ok(Outcome::Unknown) => return Some("unknown"),
        Err(_) => return Some("not run"),
    };
    if crash == CrashPoint::AfterClaim {
        return None;
    }
    effects.fetch_add(1, Ordering::Relaxed);
    if crash == CrashPoint::AfterSend {
        return None;
    }
    let _ = settle(table, &claim, State::Done(stored_reply())).await;
    (crash == CrashPoint::Never).then_some("done")
}

/// Runs the order without a claim, so that the table only shows whether it is done.
async fn run_unclaimed(table: &Memory, effects: &AtomicUsize, crash: CrashPoint) {
    use winch_platform::table::{Table, Transaction};
    if crash == CrashPoint::BeforeClaim || matches!(table.read("done").await, Ok(Some(_))) {
        return;
    }
    effects.fetch_add(1, Ordering::Relaxed);
    if crash <= CrashPoint::AfterSend {
        return;
    }
    let _ = table.commit(Transaction::default().put("done", "yes")).await;
}

#[tokio::test]
async fn every_crash_point() {
    for first in CRASH_POINTS {
        for second in CRASH_POINTS {
            let (table, effects) = (Memory::default(), AtomicUsize::new(0));
            run(&table, &effects, 1, 0, first).await;
            run(&table, &effects, 2, 10, second).await;
            let result = run(&table, &effects, 3, 1_000, CrashPoint::Never).await;
            let count = effects.load(Ordering::Relaxed);
            assert!(count <= 1, "crashes {first:?}, {second:?}: ran {count} times");
            if result == Some("not run") {
                assert_eq!(count, 0);
            }
            if matches!(result, Some("done before" | "done")) {
                assert_eq!(count, 1);
            }
        }
    }
}

#[tokio::test]
async fn unclaimed_order_repeats() {
    let (table, effects) = (Memory::default(), AtomicUsize::new(0));
    run_unclaimed(&table, &effects, CrashPoint::AfterSend).await;
    run_unclaimed(&table, &effects, CrashPoint::Never).await;
    assert_eq!(effects.load(Ordering::Relaxed), 2);
}

fn config() -> ProptestConfig {
    ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..Default::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn table_faults_tolerated(
        calls in prop::collection::vec((0..5_usize, 0..3_u32, 0..3_u32, any::<bool>(), 0..100_u64), 1..8),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
        let (table, effects) = (Memory::default(), AtomicUsize::new(0));
        let mut now = 0;
        for (nonce, (crash, lose_answers, lose_requests, outage, wait)) in calls.into_iter().enumerate() {
            table.set_fault(Fault { outage, lose_answers, lose_requests });
            now += wait;
            let before = effects.load(Ordering::Relaxed);
            let result = runtime.block_on(run(&table, &effects, nonce as u64, now, CRASH_POINTS[crash]));
            let after = effects.load(Ordering::Relaxed);
            prop_assert!(after <= 1);
            if result == Some("not run") {
                prop_assert_eq!(before, after);
            }
        }
    }
}

#[tokio::test]
async fn lost_answer_recovered() {
    let table = Memory::default();
    table.set_fault(Fault { lose_answers: 1, ..Fault::default() });
    assert_matches!(claim(&table, &request(1, 0)).await, Ok(Outcome::Claimed(_)));
}

#[tokio::test]
async fn other_request_refused() {
    let table = Memory::default();
    assert_matches!(claim(&table, &request(1, 0)).await, Ok(Outcome::Claimed(_)));
    let other = claim::Request { digest: "e".into(), ..request(2, 0) };
    assert_matches!(claim(&table, &other).await, Err(Error::Mismatch));
}

#[tokio::test]
async fn not_run_claimable() {
    let table = Memory::default();
    let Ok(Outcome::Claimed(first)) = claim(&table, &request(1, 0)).await else {
        panic!("a new key was not claimed");
    };
    assert_matches!(settle(&table, &first, State::NotRun).await, Ok(_));
    assert_matches!(claim(&table, &request(2, 0)).await, Ok(Outcome::Claimed(_)));
    // The first daemon, paused in the meantime, cannot overwrite the second one's claim.
    let late = settle(&table, &first, State::Done(stored_reply())).await;
    assert_matches!(late, Ok(winch_order::settle::Outcome::Superseded));
}

#[tokio::test]
async fn reply_stored() {
    let table = Memory::default();
    let Ok(Outcome::Claimed(first)) = claim(&table, &request(1, 0)).await else {
        panic!("a new key was not claimed");
    };
    assert_matches!(claim(&table, &request(2, 1)).await, Ok(Outcome::InProgress));
    assert_matches!(claim(&table, &request(2, 100)).await, Ok(Outcome::Unknown));
    assert_matches!(settle(&table, &first, State::Done(stored_reply())).await, Ok(_));
    let again = claim(&table, &request(3, 100)).await;
    assert_matches!(again, Ok(Outcome::Done(found)) if found == stored_reply());
}
