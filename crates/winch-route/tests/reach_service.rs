//! When a daemon takes the replicas of a service for out of reach.

use std::time::Duration;

use winch_route::reach::Reach;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn several_replicas_needed() {
    let mut reach = Reach::default();
    for at in [0, 300, 600, 900] {
        assert!(!reach.record_failed(1, 4, ms(at)), "one silent replica is no partition");
    }
    assert!(!reach.record_failed(2, 4, ms(900)));
    assert!(reach.record_failed(3, 4, ms(900)));
    assert!(!reach.record_failed(4, 4, ms(950)), "it is told once");
    assert!(reach.is_isolated());
}

#[test]
fn short_failure_ignored() {
    let mut reach = Reach::default();
    for replica in 1..=4 {
        assert!(!reach.record_failed(replica, 4, ms(replica)));
    }
    assert!(reach.needs_check());
    assert!(!reach.record_opened(ms(100)), "it was not isolated");
    assert!(!reach.needs_check());
}

#[test]
fn opened_connection_ends() {
    let mut reach = Reach::default();
    for replica in 1..=3 {
        reach.record_failed(replica, 3, ms(replica * 200));
    }
    assert!(reach.is_isolated());
    assert!(reach.record_opened(ms(1_000)));
    assert!(!reach.is_isolated());
    assert!(!reach.record_failed(1, 3, ms(1_500)), "all are counted anew");
}

#[test]
fn single_replica_counts() {
    let mut reach = Reach::default();
    assert!(!reach.record_failed(1, 1, ms(0)));
    assert!(reach.record_failed(1, 1, ms(400)));
}

#[test]
fn late_reply_checked() {
    let mut reach = Reach::default();
    reach.record_opened(ms(0));
    assert!(!reach.doubt(ms(500)), "a connection was opened just before");
    assert!(reach.doubt(ms(1_500)));
    assert!(reach.needs_check());
    assert!(!reach.is_isolated(), "a doubt alone isolates nobody");
}
