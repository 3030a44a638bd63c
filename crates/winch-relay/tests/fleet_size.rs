//! How many daemons share a limit, as the daemon that reads the store counts them.

use std::{net::SocketAddr, time::Duration};

use tokio::time::Instant;
use winch_relay::{fleet::Fleet, prelude::Name};

#[test]
fn followers_of_followers_count() {
    let (mut fleet, now) = (Fleet::default(), Instant::now());
    assert_eq!(fleet.daemons(true, now), 1);
    let (seed, other) = (fleet.add_follower(None), fleet.add_follower(None));
    fleet.report(seed, 4);
    fleet.report(other, 0);
    assert_eq!(fleet.daemons(true, now), 7, "this daemon, two followers, and four of a follower");
    assert_eq!(fleet.followers(), 2);
}

#[test]
fn lower_count_believed_late() {
    let (mut fleet, now) = (Fleet::default(), Instant::now());
    fleet.apply(300, []);
    assert_eq!(fleet.daemons(false, now), 300);
    fleet.apply(2, []);
    assert_eq!(fleet.daemons(false, now + Duration::from_secs(59)), 300);
    assert_eq!(fleet.daemons(false, now + Duration::from_secs(60)), 2);
}

#[test]
fn higher_count_believed_at_once() {
    let (mut fleet, now) = (Fleet::default(), Instant::now());
    fleet.apply(2, []);
    assert_eq!(fleet.daemons(false, now), 2);
    fleet.apply(300, []);
    assert_eq!(fleet.daemons(false, now), 300);
}

#[test]
fn silent_source_ignored() {
    let (mut fleet, now) = (Fleet::default(), Instant::now());
    fleet.apply(5, [(Name::from("model"), 40)]);
    // A daemon of an earlier release tells neither.
    fleet.apply(0, []);
    assert_eq!(fleet.daemons(false, now), 5);
    assert_eq!(fleet.replicas("model"), Some(40));
    assert_eq!(fleet.replicas("desk"), None);
}

#[test]
fn relays_exclude_receiver() {
    let mut fleet = Fleet::default();
    let addresses: Vec<SocketAddr> =
        (1..=40).map(|number| ([10, 0, 0, number], 7_000).into()).collect();
    let keys: Vec<_> = addresses.iter().map(|address| fleet.add_follower(Some(*address))).collect();
    fleet.add_follower(None);
    let relays = fleet.choose_relays(addresses[0]);
    assert_eq!(relays.len(), 16);
    assert!(!relays.contains(&addresses[0]), "a daemon is no relay of its own");
    assert_eq!(fleet.choose_relays(addresses[0]), relays, "they stay the same");
    let lost = addresses.iter().position(|address| *address == relays[0]).expect("a follower");
    fleet.remove_follower(keys[lost]);
    let kept = fleet.choose_relays(addresses[0]);
    assert_eq!(relays.iter().filter(|relay| kept.contains(relay)).count(), 15);
}

#[test]
fn relays_from_followed_and_followers() {
    let mut fleet = Fleet::default();
    let (told, follower) = (([10, 0, 0, 1], 7_000).into(), ([10, 0, 0, 2], 7_000).into());
    fleet.set_relays(vec![told]);
    fleet.add_follower(Some(follower));
    assert_eq!(fleet.relays(), [told, follower]);
}
