//! When a daemon takes the replicas of a service for out of reach.

use std::time::Duration;

use winch_route::reach::{Moment, Reach, Tally};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A moment of a process that has always run.
fn at(time: u64) -> Moment {
    Moment { uptime: ms(time), running: ms(time) }
}

/// A service of 36 replicas of which the first three take no connection.
fn isolated() -> Reach {
    let mut reach = Reach::default();
    for replica in 1..=3 {
        reach.record(replica, false, 36, at(replica * 150));
    }
    assert!(reach.is_isolated());
    reach
}

#[test]
fn several_replicas_needed() {
    let mut reach = Reach::default();
    for time in [0, 300, 600, 900] {
        assert!(!reach.record(1, false, 4, at(time)), "one silent replica is no partition");
    }
    assert!(!reach.record(2, false, 4, at(900)));
    assert!(reach.record(3, false, 4, at(900)));
    assert!(!reach.record(4, false, 4, at(950)), "it is told once");
    assert!(reach.is_isolated());
}

#[test]
fn short_failure_ignored() {
    let mut reach = Reach::default();
    for replica in 1..=4 {
        assert!(!reach.record(replica, false, 4, at(replica)));
    }
    assert!(reach.needs_check());
    for replica in 1..=4 {
        assert!(!reach.record(replica, true, 4, at(100)), "it was not isolated");
    }
    assert!(!reach.needs_check());
}

#[test]
fn single_path_ignored() {
    let mut reach = isolated();
    assert!(!reach.record(9, true, 36, at(600)), "one replica cannot serve for all");
    assert!(reach.is_isolated());
    for replica in 4..=6 {
        reach.record(replica, false, 36, at(700));
    }
    assert!(reach.is_isolated());
}

#[test]
fn opened_connections_end() {
    let mut reach = isolated();
    assert!(!reach.record(4, true, 36, at(600)));
    assert!(!reach.record(5, true, 36, at(700)));
    assert!(reach.record(6, true, 36, at(800)));
    assert!(!reach.is_isolated());
}

#[test]
fn old_failures_expire() {
    let mut reach = isolated();
    assert!(reach.record(4, true, 36, at(5_000)), "nothing else is known any more");
    assert!(!reach.needs_check());
}

#[test]
fn single_replica_counts() {
    let mut reach = Reach::default();
    assert!(!reach.record(1, false, 1, at(0)));
    assert!(reach.record(1, false, 1, at(400)));
}

#[test]
fn late_reply_checked() {
    let mut reach = Reach::default();
    reach.record(1, true, 4, at(0));
    assert!(!reach.doubt(ms(500)), "a connection was opened just before");
    assert!(reach.doubt(ms(1_500)));
    assert!(reach.needs_check());
    assert!(!reach.is_isolated(), "a doubt alone isolates nobody");
}

#[test]
fn latest_attempts_tallied() {
    let mut reach = isolated();
    reach.record(1, true, 36, at(500));
    assert_eq!(reach.tally(), Tally { opened: 1, failed: 2 });
    reach.record(4, true, 36, at(1_850));
    assert_eq!(reach.tally(), Tally { opened: 2, failed: 1 }, "old ones have expired");
}

// Guards against a service that is out of reach for the length of a pause of its daemon.
#[test]
fn pause_isolates_nobody() {
    let paused = |running, pause| Moment { uptime: ms(running + pause), running: ms(running) };
    for pause in [300, 1_000, 5_000] {
        let mut reach = Reach::default();
        for replica in 1..=4 {
            reach.record(replica, false, 4, at(replica));
        }
        for replica in 1..=4 {
            assert!(!reach.record(replica, false, 4, paused(100 + replica, pause)));
        }
        assert!(!reach.record(1, false, 4, paused(240, pause)), "{pause} ms");
        assert!(
            reach.record(2, false, 4, paused(260, pause)),
            "it has failed while this process ran"
        );
    }
}
