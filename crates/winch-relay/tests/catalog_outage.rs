//! The catalog during outages of the store, restarts of replicas and the reuse of addresses.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;
use winch_relay::{
    catalog::{Catalog, REMOVAL_GRACE, RETURN_DELAY, Recovery, Transition, Verdict},
    replica::Replica,
    store::Change,
};

/// Interval at which the replicas renew their entries.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_200);

fn replica(id: &str, port: u16, started_at_ms: u64) -> Replica {
    Replica {
        id: id.into(),
        service: "model".into(),
        address: ([127, 0, 0, 1], port).into(),
        dc: "a".into(),
        version: "v1".into(),
        slots: 4,
        draining: false,
        started_at_ms: Some(started_at_ms),
    }
}

fn ids(catalog: &Catalog) -> Vec<String> {
    let mut ids: Vec<String> = catalog.replicas().map(|replica| replica.id.to_string()).collect();
    ids.sort();
    ids
}

fn put(catalog: &mut Catalog, replica: Replica) -> Option<Transition> {
    catalog.apply(Change::Put(replica))
}

/// A state of the list that the store had at `read_at`, after one at `confirmed_at`.
fn recovery(confirmed_at: Option<Instant>, read_at: Instant) -> Recovery {
    let (steady_since, renewal_interval) = (Some(read_at), Some(RENEWAL_INTERVAL));
    Recovery { read_at, confirmed_at, steady_since, renewal_interval }
}

/// A read that finds the store reachable after an outage of unknown length.
fn end_outage(catalog: &mut Catalog, now: Instant) {
    let verdict = catalog.mark_store_reachable(&recovery(None, now), now);
    assert_eq!(verdict, Some(Verdict::Doubtful));
}

#[test]
fn removal_outside_outage() {
    let mut catalog = Catalog::default();
    put(&mut catalog, replica("i-1", 1, 5));
    let transition = catalog.apply(Change::Removed("i-1".into()));
    assert!(matches!(transition, Some(Transition::Removed(removed)) if &*removed.id == "i-1"));
    assert!(catalog.is_empty());
}

#[test]
fn removal_in_outage_delayed() {
    let (mut catalog, start) = (Catalog::default(), Instant::now());
    put(&mut catalog, replica("i-1", 1, 5));
    put(&mut catalog, replica("i-2", 2, 5));
    catalog.mark_store_unreachable();
    end_outage(&mut catalog, start);
    for id in ["i-1", "i-2"] {
        let transition = catalog.apply(Change::Removed(id.into()));
        assert!(matches!(transition, Some(Transition::Held(held)) if &*held.id == id));
        assert_eq!(catalog.apply(Change::Removed(id.into())), None);
    }
    assert_eq!(ids(&catalog), ["i-1", "i-2"], "both stay");
    // The first entry is written again within the grace period, the second one is not.
    assert!(matches!(put(&mut catalog, replica("i-1", 1, 5)), Some(Transition::Changed(_))));
    assert_eq!(catalog.expire(start + REMOVAL_GRACE / 2), []);
    let removed = catalog.expire(start + REMOVAL_GRACE);
    assert_eq!(removed, [Transition::Removed(Arc::new(replica("i-2", 2, 5)))]);
    assert_eq!(ids(&catalog), ["i-1"]);
}

#[test]
fn held_replica_not_added() {
    let mut catalog = Catalog::default();
    put(&mut catalog, replica("i-1", 1, 5));
    // A source that was cut off holds the removals of both; this daemon saw the second one leave.
    let listing = || vec![Change::Held(replica("i-1", 1, 5)), Change::Held(replica("i-2", 2, 5))];
    assert!(matches!(&catalog.replace(listing())[..], [Transition::Held(_)]));
    assert_eq!(catalog.replace(listing()), []);
    assert_eq!(ids(&catalog), ["i-1"]);
    // Followers have to hear that the entry was written again.
    assert!(matches!(put(&mut catalog, replica("i-1", 1, 5)), Some(Transition::Changed(_))));
    assert_eq!(put(&mut catalog, replica("i-1", 1, 5)), None);
}

#[test]
fn removal_after_first_read() {
    let (mut catalog, now) = (Catalog::default(), Instant::now());
    put(&mut catalog, replica("i-1", 1, 5));
    catalog.mark_store_unreachable();
    end_outage(&mut catalog, now);
    catalog.finish_read();
    // A read was applied since the outage, so the outage cannot have caused this removal.
    let transition = catalog.apply(Change::Removed("i-1".into()));
    assert!(matches!(transition, Some(Transition::Removed(_))));
}

// Guards against a refusal of this daemon alone that is taken for an outage of the store: the removal
// of a replica that has left was then held back.
#[test]
fn short_gap_believed() {
    let cases = [
        (1_000, Verdict::Steady),
        (2_000, Verdict::Steady),
        // The last renewals may have been more than an interval before the gap.
        (2_200, Verdict::Doubtful),
        (6_000, Verdict::Doubtful),
    ];
    let start = Instant::now();
    for (gap_ms, expected) in cases {
        let mut catalog = Catalog::default();
        put(&mut catalog, replica("i-1", 1, 5));
        catalog.mark_store_unreachable();
        let read_at = start + Duration::from_millis(gap_ms);
        let found = catalog.mark_store_reachable(&recovery(Some(start), read_at), read_at);
        assert_eq!(found, Some(expected), "a gap of {gap_ms} ms");
        catalog.apply(Change::Removed("i-1".into()));
        assert_eq!(catalog.is_empty(), expected == Verdict::Steady, "a gap of {gap_ms} ms");
    }
}

// Guards against a list that two short outages empty, since few replicas wrote between them.
#[test]
fn outages_in_a_row_joined() {
    let start = Instant::now();
    // The time between two outages of 1.5 s.
    for (pause_ms, expected) in [(300, Verdict::Doubtful), (1_600, Verdict::Steady)] {
        let mut catalog = Catalog::default();
        let (length, pause) = (Duration::from_millis(1_500), Duration::from_millis(pause_ms));
        let mut verdicts = Vec::new();
        for begun_at in [start, start + length + pause] {
            catalog.mark_store_unreachable();
            let read_at = begun_at + length;
            let recovery = recovery(Some(begun_at), read_at);
            verdicts.extend(catalog.mark_store_reachable(&recovery, read_at));
        }
        assert_eq!(verdicts, [Verdict::Steady, expected], "{pause_ms} ms between them");
    }
}

// Guards against a doubt that outlasts the word of a source which has seen no gap.
#[test]
fn vouched_removal_takes_effect() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    for (steady_since, is_gone) in [(start, true), (at(2_000), false)] {
        let mut catalog = Catalog::default();
        put(&mut catalog, replica("i-1", 1, 5));
        catalog.mark_store_unreachable();
        catalog.mark_store_reachable(&recovery(Some(start), at(3_000)), at(3_000));
        let held = catalog.apply(Change::Removed("i-1".into()));
        assert!(matches!(held, Some(Transition::Held(_))));
        let steady_since = Some(steady_since);
        let told = Recovery { steady_since, ..recovery(Some(at(3_000)), at(3_300)) };
        assert_eq!(catalog.mark_store_reachable(&told, at(3_300)), None);
        catalog.expire(at(3_300));
        assert_eq!(catalog.is_empty(), is_gone);
    }
}

// Guards against a source that no longer vouches for its list after a short outage, because the reads after
// it count as part of the outage.
#[test]
fn short_outage_stays_steady() {
    let (mut catalog, start) = (Catalog::default(), Instant::now());
    let at = |ms| start + Duration::from_millis(ms);
    catalog.mark_store_reachable(&recovery(None, start), start);
    catalog.mark_store_unreachable();
    for (confirmed_ms, read_ms) in [(0, 1_500), (1_500, 1_800), (1_800, 2_500), (2_500, 3_000)] {
        catalog.mark_store_reachable(&recovery(Some(at(confirmed_ms)), at(read_ms)), at(read_ms));
    }
    assert_eq!(catalog.steady_since(), Some(start));
}

// Guards against a follower that doubts what a source has seen without a gap.
#[test]
fn steady_source_believed() {
    let start = Instant::now();
    let read_at = start + Duration::from_secs(6);
    let cases = [
        (Some(start - Duration::from_secs(1)), Verdict::Steady),
        (Some(start + Duration::from_secs(1)), Verdict::Doubtful),
        (None, Verdict::Doubtful),
    ];
    for (steady_since, expected) in cases {
        let mut catalog = Catalog::default();
        put(&mut catalog, replica("i-1", 1, 5));
        catalog.mark_store_unreachable();
        let recovery = Recovery { steady_since, ..recovery(Some(start), read_at) };
        assert_eq!(catalog.mark_store_reachable(&recovery, read_at), Some(expected));
        let known = catalog.steady_since();
        assert_eq!(known, steady_since, "what it tells its own followers");
    }
}

#[test]
fn draining_is_final() {
    let mut catalog = Catalog::default();
    put(&mut catalog, replica("i-1", 1, 5));
    let draining = Replica { draining: true, ..replica("i-1", 1, 5) };
    assert!(matches!(put(&mut catalog, draining), Some(Transition::Draining(_))));
    // A stale entry of the same incarnation does not end its draining; a restart does.
    put(&mut catalog, replica("i-1", 1, 5));
    assert_eq!(catalog.usable("model", Instant::now()).count(), 0);
    put(&mut catalog, replica("i-1", 1, 9));
    assert_eq!(catalog.usable("model", Instant::now()).count(), 1);
}

#[test]
fn reused_address() {
    let mut catalog = Catalog::default();
    put(&mut catalog, replica("i-1", 1, 5));
    put(&mut catalog, replica("i-2", 1, 9));
    assert_eq!(ids(&catalog), ["i-2"]);
    // An entry of the dead replica may still arrive before it expires.
    put(&mut catalog, replica("i-1", 1, 5));
    assert_eq!(ids(&catalog), ["i-2"]);
}

#[test]
fn unlisted_replica_expires() {
    let (mut catalog, now) = (Catalog::default(), Instant::now());
    put(&mut catalog, replica("i-1", 1, 5));
    assert!(catalog.insert_unlisted(replica("i-2", 1, 9), now).is_some());
    // A complete listing from before its restart does not remove it.
    catalog.replace(vec![Change::Put(replica("i-1", 1, 5))]);
    assert_eq!(ids(&catalog), ["i-2"]);
    catalog.expire(now + Duration::from_secs(60));
    assert!(catalog.is_empty());
}

#[test]
fn unreadable_entry_ignored() {
    let mut catalog = Catalog::default();
    put(&mut catalog, replica("i-1", 1, 5));
    let change = Change::Unreadable { id: "i-1".into(), fault: "no state".into() };
    assert_eq!(catalog.apply(change.clone()), None);
    assert_eq!(catalog.replace(vec![change]), []);
    assert_eq!(ids(&catalog), ["i-1"]);
}

#[test]
fn ejection_after_failures() {
    let (mut catalog, now) = (Catalog::default(), Instant::now());
    put(&mut catalog, replica("i-1", 1, 5));
    let key = catalog.key("i-1").unwrap();
    let first = catalog.eject(key, now).unwrap();
    assert_eq!(catalog.usable("model", now).count(), 0);
    assert_eq!(catalog.usable("model", now + first).count(), 1);
    let second = catalog.eject(key, now + first).unwrap();
    assert!(second > first);
    catalog.record_answer(key, None, false, now);
    assert_eq!(catalog.usable("model", now + first).count(), 1);
}

// Guards against requests to a replica that still wants none, because a later refusal named a shorter time.
#[test]
fn longer_pause_kept() {
    let (mut catalog, now) = (Catalog::default(), Instant::now());
    put(&mut catalog, replica("i-1", 1, 5));
    let after = |seconds| now + Duration::from_secs(seconds);
    for until in [after(3), after(1)] {
        catalog.pause(&replica("i-1", 1, 5), until);
    }
    assert_eq!(catalog.usable("model", after(2)).count(), 0);
    assert_eq!(catalog.usable("model", after(3)).count(), 1);
}

/// A catalog that reads the list in its first era.
fn first_era(start: Instant) -> Catalog {
    let mut catalog = Catalog::default();
    catalog.enter_era(1, start);
    catalog
}

#[test]
fn departed_returns_late() {
    let start = Instant::now();
    let mut catalog = first_era(start);
    put(&mut catalog, replica("i-1", 1, 5));
    catalog.apply(Change::Removed("i-1".into()));
    catalog.enter_era(2, start);
    assert_eq!(catalog.replace(vec![Change::Put(replica("i-1", 1, 5))]), []);
    catalog.finish_read();
    assert_eq!(catalog.expire(start + RETURN_DELAY / 2), []);
    let added = catalog.expire(start + RETURN_DELAY);
    assert!(matches!(&added[..], [Transition::Added(added)] if &*added.id == "i-1"));
}

#[test]
fn departed_removed_again() {
    let start = Instant::now();
    let mut catalog = first_era(start);
    put(&mut catalog, replica("i-1", 1, 5));
    catalog.apply(Change::Removed("i-1".into()));
    catalog.enter_era(2, start);
    put(&mut catalog, replica("i-1", 1, 5));
    catalog.finish_read();
    catalog.apply(Change::Removed("i-1".into()));
    assert_eq!(catalog.expire(start + RETURN_DELAY), [], "the store has removed it again");
}

#[test]
fn departed_returns_in_era() {
    let mut catalog = first_era(Instant::now());
    put(&mut catalog, replica("i-1", 1, 5));
    catalog.apply(Change::Removed("i-1".into()));
    assert!(put(&mut catalog, replica("i-1", 1, 5)).is_some(), "it was written again");
}

#[test]
fn former_incarnation_ignored() {
    let start = Instant::now();
    let mut catalog = first_era(start);
    put(&mut catalog, replica("i-1", 1, 9));
    catalog.enter_era(2, start);
    assert_eq!(put(&mut catalog, replica("i-1", 1, 5)), None);
    let known = catalog.replicas().next().expect("known");
    assert_eq!(known.started_at_ms, Some(9));
}

#[test]
fn returned_replica_drains() {
    let start = Instant::now();
    let mut catalog = first_era(start);
    put(&mut catalog, replica("i-1", 1, 5));
    catalog.apply(Change::Removed("i-1".into()));
    put(&mut catalog, replica("i-1", 1, 5));
    catalog.enter_era(2, start);
    let transition = put(&mut catalog, Replica { draining: true, ..replica("i-1", 1, 5) });
    assert!(matches!(transition, Some(Transition::Draining(_))), "it is known and in use");
}
