//! Calls that wait for an upstream do not outlast the last one in the configuration.

use std::time::Duration;

use assert_matches::assert_matches;
use winch_route::{
    admission::Arrival,
    candidate::Spec,
    router::{Call, Options, Placement, Router, Wake},
    urgency::Urgency,
};

fn spec(runs: &str) -> Spec {
    Spec {
        name: format!("e-{runs}").into(),
        dc: "dc".into(),
        runs: runs.into(),
        slots: 1,
        leaving: false,
    }
}

fn call(runs: &str) -> Call {
    Call {
        runs: runs.into(),
        prefix: 7,
        prefill_tokens: 100,
        move_subset: None,
        arrival: Arrival {
            team: "t".into(),
            weight: 1,
            urgency: Urgency::Long,
            max_wait: Duration::from_secs(20),
        },
    }
}

// Guards against a refusal that comes only at the end of the wait, although a change of the
// configuration has removed everything that the call could run on.
#[test]
fn queued_call_expires() {
    let mut router = Router::new("entry-1", "dc".into(), Options::default(), 1);
    router.pool.sync([spec("v1"), spec("v2")], Duration::from_secs(1));
    let now = Duration::from_secs(2);
    let mut waiters = Vec::new();
    for runs in ["v1", "v2"] {
        assert_matches!(router.place(call(runs), now), Placement::Start(_));
        assert_matches!(router.place(call(runs), now), Placement::Wait(id) => waiters.push(id));
    }
    assert_eq!(router.tick(now), []);
    router.pool.sync([spec("v2")], now);
    assert_eq!(router.tick(now), [Wake::Expired(waiters[0])]);
    assert_eq!((router.waiting("v1"), router.waiting("v2")), (0, 1));
}
