//! What the list says of replicas, through outages, restarts and reused addresses.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;
use winch_relay::{
    catalog::{Catalog, REMOVAL_GRACE, Transition},
    replica::Replica,
    store::Change,
};

fn replica(id: &str, port: u16, born: u64) -> Replica {
    Replica {
        id: id.into(),
        service: "model".into(),
        address: ([127, 0, 0, 1], port).into(),
        dc: "a".into(),
        version: "v1".into(),
        slots: 4,
        draining: false,
        started_at_ms: Some(born),
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
fn removal_is_leaving() {
    let mut catalog = Catalog::default();
    put(&mut catalog, replica("i-1", 1, 5));
    let news = catalog.apply(Change::Removed("i-1".into()));
    assert!(matches!(news, Some(Transition::Removed(gone)) if &*gone.id == "i-1"));
    assert!(catalog.is_empty());
}

#[test]
fn lapse_in_outage_confirmed_later() {
    let (mut catalog, start) = (Catalog::default(), Instant::now());
    put(&mut catalog, replica("i-1", 1, 5));
    put(&mut catalog, replica("i-2", 2, 5));
    catalog.mark_store_unreachable();
    catalog.mark_store_reachable(start);
    for id in ["i-1", "i-2"] {
        assert_eq!(catalog.apply(Change::Removed(id.into())), None);
    }
    // One is back soon; the other one is still missing after that.
    put(&mut catalog, replica("i-1", 1, 5));
    assert_eq!(catalog.expire(start + REMOVAL_GRACE / 2), []);
    let gone = catalog.expire(start + REMOVAL_GRACE);
    assert_eq!(gone, [Transition::Removed(Arc::new(replica("i-2", 2, 5)))]);
    assert_eq!(ids(&catalog), ["i-1"]);
}

#[test]
fn removal_after_return_is_leaving() {
    let (mut catalog, now) = (Catalog::default(), Instant::now());
    put(&mut catalog, replica("i-1", 1, 5));
    catalog.mark_store_unreachable();
    catalog.mark_store_reachable(now);
    catalog.finish_read();
    // The store has answered since: this entry did not lapse in the outage.
    let news = catalog.apply(Change::Removed("i-1".into()));
    assert!(matches!(news, Some(Transition::Removed(_))));
}

#[test]
fn leaving_is_final() {
    let mut catalog = Catalog::default();
    put(&mut catalog, replica("i-1", 1, 5));
    let draining = Replica { draining: true, ..replica("i-1", 1, 5) };
    assert!(matches!(put(&mut catalog, draining), Some(Transition::Draining(_))));
    // A stale entry of the same incarnation does not bring it back, a restart does.
    put(&mut catalog, replica("i-1", 1, 5));
    assert_eq!(catalog.usable("model", Instant::now()).count(), 0);
    put(&mut catalog, replica("i-1", 1, 9));
    assert_eq!(catalog.usable("model", Instant::now()).count(), 1);
}

#[test]
fn address_used_again() {
    let mut catalog = Catalog::default();
    put(&mut catalog, replica("i-1", 1, 5));
    put(&mut catalog, replica("i-2", 1, 9));
    assert_eq!(ids(&catalog), ["i-2"]);
    // The dead one's entry may be written once more before it lapses.
    put(&mut catalog, replica("i-1", 1, 5));
    assert_eq!(ids(&catalog), ["i-2"]);
}

#[test]
fn unlisted_engine_expires() {
    let (mut catalog, now) = (Catalog::default(), Instant::now());
    put(&mut catalog, replica("i-1", 1, 5));
    assert!(catalog.insert_unlisted(replica("i-2", 1, 9), now).is_some());
    // A whole listing from before its restart does not remove it.
    catalog.replace(vec![Change::Put(replica("i-1", 1, 5))]);
    assert_eq!(ids(&catalog), ["i-2"]);
    catalog.expire(now + Duration::from_secs(60));
    assert!(catalog.is_empty());
}

#[test]
fn unreadable_entry_changes_nothing() {
    let mut catalog = Catalog::default();
    put(&mut catalog, replica("i-1", 1, 5));
    let change = Change::Unreadable { id: "i-1".into(), fault: "no state".into() };
    assert_eq!(catalog.apply(change.clone()), None);
    assert_eq!(catalog.replace(vec![change]), []);
    assert_eq!(ids(&catalog), ["i-1"]);
}

#[test]
fn failures_avoided_for_a_while() {
    let (mut catalog, now) = (Catalog::default(), Instant::now());
    put(&mut catalog, replica("i-1", 1, 5));
    let key = catalog.key("i-1").unwrap();
    let first = catalog.eject(key, now).unwrap();
    assert_eq!(catalog.usable("model", now).count(), 0);
    assert_eq!(catalog.usable("model", now + first).count(), 1);
    let second = catalog.eject(key, now + first).unwrap();
    assert!(second > first);
    catalog.record_answer(key, None, false);
    assert_eq!(catalog.usable("model", now + first).count(), 1);
}
