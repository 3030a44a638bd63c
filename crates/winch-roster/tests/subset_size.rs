//! What a follower knows and receives does not grow with the list, and stays useful when
//! replicas or a data centre are lost.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{Follower, replica, roster};
use prost::Message;
use winch_roster::{
    Name, frame,
    interest::{Interest, SUBSET_SIZE},
    roster::Change,
};

const DCS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

#[test]
fn small_list_whole() {
    let roster = roster(&["a", "b"], 40);
    let mut follower = Follower::new(Interest::subset("daemon-1", "a".into()));
    let delta = follower.update(&roster);
    assert!(delta.complete && delta.whole);
    assert_eq!(follower.known.len(), 80);
}

#[test]
fn subset_bounded() {
    let mut sizes = Vec::new();
    for per_dc in [50, 500, 1_200] {
        let roster = roster(&DCS, per_dc);
        let mut follower = Follower::new(Interest::subset("daemon-1", "a".into()));
        let delta = follower.update(&roster);
        assert_eq!(follower.count("a"), SUBSET_SIZE.min(per_dc as usize));
        let remote = follower.known.len() - follower.count("a");
        // The share of each data centre is rounded up.
        assert!((SUBSET_SIZE..SUBSET_SIZE + DCS.len()).contains(&remote), "{remote} remote");
        sizes.push(frame::Delta::from(&delta).encoded_len());
    }
    assert!(sizes[2] < 16 * 1_024, "a first update of {} bytes", sizes[2]);
    assert!(sizes[2] < sizes[1] + sizes[1] / 10, "{sizes:?} grow with the list");
}

#[test]
fn replicas_shared_evenly() {
    let roster = roster(&DCS, 500);
    let mut known_by: BTreeMap<Name, u32> = BTreeMap::new();
    for number in 0..300 {
        let dc = DCS[number % DCS.len()];
        let mut follower = Follower::new(Interest::subset(&format!("daemon-{number}"), dc.into()));
        follower.update(&roster);
        for id in follower.known.into_keys() {
            *known_by.entry(id).or_default() += 1;
        }
    }
    assert_eq!(known_by.len(), 3_000, "every replica is known to a daemon");
    let mean = f64::from(known_by.values().sum::<u32>()) / 3_000.0;
    let most = f64::from(*known_by.values().max().unwrap());
    assert!(most < 2.5 * mean, "the most known replica is known to {most} daemons, mean {mean}");
}

#[test]
fn lost_dc_leaves_choice() {
    let mut roster = roster(&DCS, 500);
    let mut follower = Follower::new(Interest::subset("daemon-1", "a".into()));
    follower.update(&roster);
    for number in 0..500 {
        roster.apply(Change::Removed(format!("i-{number}").into()));
    }
    follower.update(&roster);
    assert_eq!(follower.count("a"), 0);
    for dc in &DCS[1..] {
        assert!(follower.count(dc) >= SUBSET_SIZE / DCS.len(), "copies need other data centres");
    }
}

#[test]
fn returned_replicas_known_again() {
    let mut roster = roster(&DCS, 500);
    let mut follower = Follower::new(Interest::subset("daemon-1", "a".into()));
    follower.update(&roster);
    let before: BTreeSet<_> = follower.known.values().map(|replica| replica.address).collect();
    // Nine tenths of a data centre crash and return at their addresses under other ids.
    for number in 0..450 {
        roster.apply(Change::Removed(format!("i-{number}").into()));
    }
    follower.update(&roster);
    assert_eq!(follower.count("a"), 50, "all that are left");
    for number in 0..450 {
        let mut returned = (*replica(number, "a")).clone();
        returned.id = format!("j-{number}").into();
        roster.apply(Change::Put(returned.into()));
    }
    follower.update(&roster);
    let after: BTreeSet<_> = follower.known.values().map(|replica| replica.address).collect();
    assert!(before.is_subset(&after), "the same addresses are known again");
    assert!(follower.count("a") <= 2 * SUBSET_SIZE);
}

#[test]
fn moved_service_whole() {
    let roster = roster(&DCS, 500);
    let mut follower = Follower::new(Interest::subset("daemon-1", "a".into()));
    follower.update(&roster);
    let moving = BTreeSet::from([Name::from("s")]);
    assert!(follower.update_with(&roster, &moving).whole);
    assert_eq!(follower.known.len(), 3_000);
    follower.update(&roster);
    assert!(follower.known.len() < 600, "{} after the move", follower.known.len());
}

#[test]
fn subset_kept_after_return() {
    let mut roster = roster(&DCS, 500);
    let mut follower = Follower::new(Interest::subset("daemon-1", "a".into()));
    follower.update(&roster);
    for number in 0..100 {
        roster.apply(Change::Removed(format!("i-{number}").into()));
    }
    let substitutes = follower.update(&roster).put;
    assert!(!substitutes.is_empty());
    for number in 0..100 {
        roster.apply(Change::Put(replica(number, "a")));
    }
    let delta = follower.update(&roster);
    assert_eq!(delta.removed, [] as [Name; 0], "connections to the substitutes stay of use");
}
