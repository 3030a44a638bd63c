//! The catalog during outages of the store, restarts of replicas and the reuse of addresses.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;
use winch_relay::{
    catalog::{Catalog, REMOVAL_GRACE, RETURN_DELAY, Transition},
    replica::Replica,
    store::Change,
};

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
    catalog.mark_store_reachable(start);
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
    catalog.mark_store_reachable(now);
    catalog.finish_read();
    // A read was applied since the outage, so the outage cannot have caused this removal.
    let transition = catalog.apply(Change::Removed("i-1".into()));
    assert!(matches!(transition, Some(Transition::Removed(_))));
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
