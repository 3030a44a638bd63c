//! Orders run at most once, wherever the daemon dies and whatever the table loses.

use std::sync::atomic::{AtomicUsize, Ordering};

use assert_matches::assert_matches;
use proptest::prelude::*;
use winch_order::{
    claim::{self, Error, Outcome, claim},
    record::{State, StoredReply},
    settle::settle,
};
use winch_platform::memory::{Fault, Memory};

/// The steps of a keyed order; a daemon may die after any of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Cut {
    BeforeClaim,
    AfterClaim,
    AfterSend,
    AfterSettle,
    Never,
}

const CUTS: [Cut; 5] =
    [Cut::BeforeClaim, Cut::AfterClaim, Cut::AfterSend, Cut::AfterSettle, Cut::Never];

fn request(nonce: u64, now: u64) -> claim::Request {
    claim::Request {
        team: "box-office".into(),
        key: "reprint-7".into(),
        digest: "d".into(),
        nonce,
        daemon: format!("entry-{nonce}").into(),
        now,
        pending_limit: 60,
    }
}

fn stored_reply() -> StoredReply {
    StoredReply { status: 201, content_type: "text/plain".into(), body: b"cut \xff".to_vec() }
}

/// One daemon's work on the order; what its caller is told, if it lives to tell.
async fn run(
    table: &Memory,
    effects: &AtomicUsize,
    nonce: u64,
    now: u64,
    cut: Cut,
) -> Option<&'static str> {
    if cut == Cut::BeforeClaim {
        return None;
    }
    let claimed = match claim(table, &request(nonce, now)).await {
        Ok(Outcome::Claimed(claimed)) => claimed,
        Ok(Outcome::Done(_)) => return Some("kept"),
        Ok(Outcome::InProgress) => return Some("in progress"),
        Ok(Outcome::Unknown) => return Some("unknown"),
        Err(_) => return Some("not run"),
    };
    if cut == Cut::AfterClaim {
        return None;
    }
    effects.fetch_add(1, Ordering::Relaxed);
    if cut == Cut::AfterSend {
        return None;
    }
    let _ = settle(table, &claimed, State::Done(stored_reply())).await;
    (cut == Cut::Never).then_some("done")
}

/// The same without a ledger entry before the send, as one would first write it.
async fn run_naive(table: &Memory, effects: &AtomicUsize, cut: Cut) {
    use winch_platform::table::{Table, Transaction};
    if cut == Cut::BeforeClaim || matches!(table.read("done").await, Ok(Some(_))) {
        return;
    }
    effects.fetch_add(1, Ordering::Relaxed);
    if cut <= Cut::AfterSend {
        return;
    }
    let _ = table.commit(Transaction::default().put("done", "yes")).await;
}

#[tokio::test]
async fn every_cut() {
    for first in CUTS {
        for second in CUTS {
            let (table, effects) = (Memory::default(), AtomicUsize::new(0));
            run(&table, &effects, 1, 0, first).await;
            run(&table, &effects, 2, 10, second).await;
            let told = run(&table, &effects, 3, 1_000, Cut::Never).await;
            let count = effects.load(Ordering::Relaxed);
            assert!(count <= 1, "{first:?}, {second:?}: ran {count} times");
            if told == Some("not run") {
                assert_eq!(count, 0);
            }
            if matches!(told, Some("kept" | "done")) {
                assert_eq!(count, 1);
            }
        }
    }
}

#[tokio::test]
async fn naive_doubles() {
    let (table, effects) = (Memory::default(), AtomicUsize::new(0));
    run_naive(&table, &effects, Cut::AfterSend).await;
    run_naive(&table, &effects, Cut::Never).await;
    assert_eq!(effects.load(Ordering::Relaxed), 2);
}

fn config() -> ProptestConfig {
    ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..Default::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn under_faults(
        calls in prop::collection::vec((0..5_usize, 0..3_u32, 0..3_u32, any::<bool>(), 0..100_u64), 1..8),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
        let (table, effects) = (Memory::default(), AtomicUsize::new(0));
        let mut now = 0;
        for (nonce, (cut, lose_answers, lose_requests, outage, wait)) in calls.into_iter().enumerate() {
            table.set_fault(Fault { outage, lose_answers, lose_requests });
            now += wait;
            let before = effects.load(Ordering::Relaxed);
            let told = runtime.block_on(run(&table, &effects, nonce as u64, now, CUTS[cut]));
            let after = effects.load(Ordering::Relaxed);
            prop_assert!(after <= 1);
            if told == Some("not run") {
                prop_assert_eq!(before, after);
            }
        }
    }
}

#[tokio::test]
async fn lost_claim_settled() {
    let table = Memory::default();
    table.set_fault(Fault { lose_answers: 1, ..Fault::default() });
    assert_matches!(claim(&table, &request(1, 0)).await, Ok(Outcome::Claimed(_)));
}

#[tokio::test]
async fn other_body() {
    let table = Memory::default();
    assert_matches!(claim(&table, &request(1, 0)).await, Ok(Outcome::Claimed(_)));
    let other = claim::Request { digest: "e".into(), ..request(2, 0) };
    assert_matches!(claim(&table, &other).await, Err(Error::Mismatch));
}

#[tokio::test]
async fn not_run_reclaimed() {
    let table = Memory::default();
    let Ok(Outcome::Claimed(first)) = claim(&table, &request(1, 0)).await else {
        panic!("a fresh key is claimed");
    };
    assert_matches!(settle(&table, &first, State::NotRun).await, Ok(_));
    assert_matches!(claim(&table, &request(2, 0)).await, Ok(Outcome::Claimed(_)));
    // The first daemon, paused meanwhile, cannot overwrite the second one's claim.
    let late = settle(&table, &first, State::Done(stored_reply())).await;
    assert_matches!(late, Ok(winch_order::settle::Outcome::Superseded));
}

#[tokio::test]
async fn answer_kept() {
    let table = Memory::default();
    let Ok(Outcome::Claimed(first)) = claim(&table, &request(1, 0)).await else {
        panic!("a fresh key is claimed");
    };
    assert_matches!(claim(&table, &request(2, 1)).await, Ok(Outcome::InProgress));
    assert_matches!(claim(&table, &request(2, 100)).await, Ok(Outcome::Unknown));
    assert_matches!(settle(&table, &first, State::Done(stored_reply())).await, Ok(_));
    let again = claim(&table, &request(3, 100)).await;
    assert_matches!(again, Ok(Outcome::Done(found)) if found == stored_reply());
}
