//! How many daemons share a limit, as the daemon that reads the store counts them.

use std::time::Duration;

use tokio::time::Instant;
use winch_relay::{fleet::Fleet, prelude::Name};

#[test]
fn followers_of_followers_count() {
    let (mut fleet, now) = (Fleet::default(), Instant::now());
    assert_eq!(fleet.daemons(true, now), 1);
    let (seed, other) = (fleet.add_follower(), fleet.add_follower());
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
