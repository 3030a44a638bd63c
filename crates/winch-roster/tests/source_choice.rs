//! Whom a daemon follows, and when it reads the list itself.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use assert_matches::assert_matches;
use rand::{SeedableRng, rngs::SmallRng};
use winch_roster::{
    pace::Pace,
    source::{End, Role, Rotation, Step},
};

const MAX_AGE: Duration = Duration::from_millis(1_200);

fn address(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 9).into()
}

fn servers() -> Vec<SocketAddr> {
    vec![address(3), address(1), address(2)]
}

#[test]
fn servers_ordered() {
    let sources = |own, can_read| Role::new(&servers(), address(own)).sources(can_read);
    assert_eq!(sources(1, true), [], "the first one reads");
    assert_eq!(sources(3, true), [address(1), address(2)]);
    assert_eq!(sources(1, false), [address(2), address(3)], "unless it cannot");
    assert!(!Role::new(&servers(), address(7)).serves());
    assert_eq!(Role::new(&[], address(7)).sources(true), [], "without servers every daemon reads");
}

#[test]
fn all_tried_before_reading() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut rotation = Rotation::default();
    let mut tried = BTreeSet::new();
    for _ in 0..3 {
        let step = rotation.next(&servers(), &mut rng);
        let Step::Follow(source) = step else { panic!("{step:?}") };
        assert!(tried.insert(source));
        assert!(rotation.ended(source, End::Unreachable, Duration::ZERO, None));
    }
    assert_eq!(rotation.next(&servers(), &mut rng), Step::Read);
}

#[test]
fn stale_source_lingers() {
    let mut rng = SmallRng::seed_from_u64(2);
    let mut rotation = Rotation::default();
    for _ in 0..3 {
        let step = rotation.next(&servers(), &mut rng);
        let Step::Follow(source) = step else { panic!("{step:?}") };
        rotation.ended(source, End::Stale, Duration::ZERO, None);
    }
    let step = rotation.next(&servers(), &mut rng);
    let Step::Linger(source, share) = step else { panic!("{step:?}") };
    assert!(share < 0.5);
    rotation.ended(source, End::Stale, MAX_AGE.mul_f64(share), None);
    assert_eq!(rotation.next(&servers(), &mut rng), Step::Read);
}

#[test]
fn starting_server_awaited() {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut rotation = Rotation::default();
    let mut uptime = Duration::ZERO;
    // After the whole fleet was killed, servers need a moment for their first read.
    while uptime < Duration::from_millis(2_800) {
        let step = rotation.next(&servers(), &mut rng);
        let Step::Follow(source) = step else { panic!("{step:?} after {uptime:?}") };
        assert!(!rotation.ended(source, End::Starting, Duration::ZERO, Some(uptime)));
        assert_eq!(rotation.next(&servers(), &mut rng), Step::Wait);
        uptime += Duration::from_millis(400);
    }
    for _ in 0..3 {
        let step = rotation.next(&servers(), &mut rng);
        assert_matches!(step, Step::Follow(source) => {
            rotation.ended(source, End::Starting, Duration::ZERO, Some(Duration::from_secs(4)))
        });
    }
    assert_eq!(rotation.next(&servers(), &mut rng), Step::Read);
}

#[test]
fn knowledge_stays_young() {
    for max_age in [200, 1_200, 2_400, 60_000].map(Duration::from_millis) {
        let pace = Pace::new(max_age);
        // A wait counts twice; the next heartbeat may just have missed the read.
        let oldest = 2 * pace.read_interval + pace.heartbeat;
        if max_age >= Duration::from_millis(400) {
            assert!(oldest < pace.takeover_age, "{oldest:?} of {max_age:?}");
        }
        assert!(pace.takeover_age + pace.read_interval / 2 < pace.max_age.max(oldest));
    }
}
