//! What daemons tell each other of the speeds of replicas, and what the catalog makes of it.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use winch_relay::{
    catalog::Catalog,
    replica::Replica,
    speed::{Cursor, Sample, Speeds, Told},
    store::Change,
};
use winch_route::speed::Level;

/// Gap of a typical replica, in milliseconds.
const GAP_MS: u64 = 20;

fn at(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn replica(id: &str, port: u16) -> Replica {
    Replica {
        id: id.into(),
        service: "model".into(),
        address: at(port),
        dc: "a".into(),
        version: "v1".into(),
        slots: 4,
        draining: false,
        started_at_ms: Some(1),
    }
}

/// A catalog with replicas at the ports 1 to `count`.
fn catalog(count: u16) -> Catalog {
    let mut catalog = Catalog::default();
    for port in 1..=count {
        catalog.apply(Change::Put(replica(&format!("i-{port}"), port)));
    }
    catalog
}

fn sample(port: u16, gap_ms: u64) -> Sample {
    Sample { address: at(port), level: Level::from_gap(Duration::from_millis(gap_ms)) }
}

/// Gives `speeds` ten samples of each replica, of which those at `slow` are four times slower.
fn learn(speeds: &mut Speeds, catalog: &Catalog, slow: &[u16], now: Duration) {
    let ports = (1..).take(catalog.len());
    for _ in 0..10 {
        let gap_ms = |port| if slow.contains(&port) { 4 * GAP_MS } else { GAP_MS };
        speeds.receive(ports.clone().map(|port| sample(port, gap_ms(port))));
        speeds.estimate(catalog, now);
    }
}

/// Ports that differ according to `speeds`, or that have become typical since the last call.
fn differing(speeds: &mut Speeds) -> Vec<(u16, f64)> {
    let changes = speeds.take_changes().unwrap_or_default();
    let mut differing: Vec<_> =
        changes.into_iter().map(|(address, (_, slowness))| (address.port(), slowness)).collect();
    differing.sort_by_key(|(port, _)| *port);
    differing
}

/// What `source` tells a follower that knows all replicas.
fn tell(source: &Speeds, cursor: &mut Cursor) -> Option<Told> {
    source.next_told(cursor, &[], |_| true)
}

#[test]
fn slow_replica_told() {
    let (mut reader, mut follower, catalog) = (Speeds::default(), Speeds::default(), catalog(8));
    let mut cursor = Cursor::default();
    follower.apply(&tell(&reader, &mut cursor).expect("the first update tells all"));
    learn(&mut reader, &catalog, &[3], Duration::ZERO);
    follower.apply(&tell(&reader, &mut cursor).expect("replica 3 differs"));
    assert_eq!(differing(&mut follower), [(3, 4.0)]);
    assert_eq!(tell(&reader, &mut cursor), None, "nothing has changed");
    learn(&mut reader, &catalog, &[], Duration::from_secs(1));
    learn(&mut reader, &catalog, &[], Duration::from_secs(2));
    learn(&mut reader, &catalog, &[], Duration::from_secs(3));
    follower.apply(&tell(&reader, &mut cursor).expect("replica 3 is typical again"));
    assert_eq!(follower.take_changes(), Some(HashMap::new()));
}

#[test]
fn only_known_replicas_told() {
    let (mut reader, mut cursor) = (Speeds::default(), Cursor::default());
    let known = HashSet::from([at(2), at(3)]);
    let is_known = |address| known.contains(&address);
    reader.next_told(&mut cursor, &[], is_known);
    learn(&mut reader, &catalog(16), &[3, 4, 5], Duration::ZERO);
    let told = reader.next_told(&mut cursor, &[], is_known).expect("replica 3 differs");
    let gaps: Vec<SocketAddr> = told.services[0].gaps.iter().map(|(address, _)| *address).collect();
    assert_eq!(gaps, [at(3)]);
    // A replica that the follower is told of later.
    let told = reader.next_told(&mut cursor, &[at(4)], is_known).expect("it differs");
    assert!(!told.is_complete);
    assert_eq!(told.services[0].gaps[0].0, at(4));
    assert_eq!(reader.next_told(&mut cursor, &[at(6)], is_known), None, "it is typical");
    let gaps = reader.next_told(&mut Cursor::default(), &[], is_known).expect("all").services;
    assert_eq!(gaps[0].gaps.len(), 1, "a new follower is told of its part alone");
}

#[test]
fn next_reader_continues() {
    let (mut reader, mut next, catalog) = (Speeds::default(), Speeds::default(), catalog(9));
    learn(&mut reader, &catalog, &[3, 6, 9], Duration::ZERO);
    next.apply(&tell(&reader, &mut Cursor::default()).expect("all"));
    let known = differing(&mut next);
    assert_eq!(known.len(), 3);
    // Only the slow replicas have samples at first; they must not become the typical ones.
    for second in 1..8 {
        next.receive([3, 6, 9].map(|port| sample(port, 4 * GAP_MS)));
        next.estimate(&catalog, Duration::from_secs(second));
        next.take_changes();
    }
    let told = tell(&next, &mut Cursor::default()).expect("all");
    assert_eq!(told.services[0].gaps.len(), 3);
    assert_eq!(told.services[0].typical, sample(1, GAP_MS).level);
}

#[test]
fn restarted_source_learns() {
    let (mut reader, mut follower, catalog) = (Speeds::default(), Speeds::default(), catalog(9));
    learn(&mut reader, &catalog, &[3], Duration::ZERO);
    follower.apply(&tell(&reader, &mut Cursor::default()).expect("all"));
    // The only daemon that reads the store is restarted.
    let (mut reader, mut cursor) = (Speeds::default(), Cursor::default());
    reader.estimate(&catalog, Duration::ZERO);
    follower.apply(&tell(&reader, &mut cursor).expect("nothing known"));
    assert_eq!(differing(&mut follower), []);
    reader.restore(follower.take_unknown_to_source().expect("replica 3 differs"));
    assert_eq!(follower.take_unknown_to_source(), None, "it is told once");
    reader.estimate(&catalog, Duration::from_millis(500));
    follower.apply(&tell(&reader, &mut cursor).expect("replica 3 differs"));
    assert_eq!(differing(&mut follower), [(3, 4.0)]);
}

#[test]
fn samples_limited_by_fleet() {
    let mut speeds = Speeds::default();
    let second = Duration::from_secs(1);
    let mut sent = 0;
    for tick in 1..=120 {
        (0..100).for_each(|_| speeds.record(sample(1, GAP_MS)));
        sent += speeds.take_samples(970, tick * second / 2).len();
    }
    // 256 samples a second of all daemons together, for a minute.
    assert_eq!(sent, 60 * 256 / 970);
    let mut alone = Speeds::default();
    (0..100).for_each(|_| alone.record(sample(1, GAP_MS)));
    assert_eq!(alone.take_samples(1, second).len(), 16, "the newest ones");
}

#[test]
fn samples_passed_on() {
    let mut server = Speeds::default();
    server.receive((0..200).map(|port| sample(port, GAP_MS)));
    let passed = server.take_samples(970, Duration::ZERO);
    assert_eq!(passed.len(), 128, "the oldest ones are dropped");
    assert_eq!(passed[127].address, at(199));
}

#[test]
fn restarted_replica_keeps_slowness() {
    let mut catalog = catalog(2);
    catalog.set_slowness(HashMap::from([(at(2), ("model".into(), 2.5))]));
    let slowness = |catalog: &Catalog, id| catalog.slowness(catalog.key(id).expect("known"));
    assert_eq!(slowness(&catalog, "i-1"), 1.0);
    assert_eq!(slowness(&catalog, "i-2"), 2.5);
    catalog.apply(Change::Put(Replica { started_at_ms: Some(2), ..replica("i-3", 2) }));
    assert_eq!(slowness(&catalog, "i-3"), 2.5);
    let other = Replica { service: "desk".into(), started_at_ms: Some(3), ..replica("i-4", 2) };
    catalog.apply(Change::Put(other));
    assert_eq!(slowness(&catalog, "i-4"), 1.0, "the estimate is that of another service");
}

#[test]
fn restarted_replica_keeps_latency() {
    let mut catalog = catalog(1);
    let key = catalog.key("i-1").expect("known");
    catalog.record_answer(key, Some(Duration::from_millis(80)), false, tokio::time::Instant::now());
    catalog.apply(Change::Removed("i-1".into()));
    catalog.apply(Change::Put(Replica { started_at_ms: Some(2), ..replica("i-2", 1) }));
    let latency_ms = |catalog: &Catalog, id| {
        catalog.get(catalog.key(id).expect("known")).expect("known").latency_ms
    };
    assert_eq!(latency_ms(&catalog, "i-2"), Some(80.0));
    catalog.apply(Change::Put(replica("i-3", 2)));
    assert_eq!(latency_ms(&catalog, "i-3"), None, "nothing is known of its address");
}
