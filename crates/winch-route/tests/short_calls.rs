//! Many consecutive short calls start without queueing while the upstreams have free slots.

use std::time::Duration;

use winch_route::{
    admission::Arrival,
    candidate::{Finish, Spec},
    router::{Call, Options, Placement, Router},
    urgency::Urgency,
};

#[test]
fn start_without_queueing() {
    let mut router = Router::new("entry-1", "dc".into(), Options::default(), 1);
    let specs = (0..4).map(|number| Spec {
        name: format!("e{number}").into(),
        dc: "dc".into(),
        runs: "v1".into(),
        slots: 16,
        leaving: false,
    });
    router.pool.sync(specs, Duration::from_secs(1));
    let call = Call {
        runs: "v1".into(),
        prefix: 7,
        prefill_tokens: 100,
        move_subset: None,
        arrival: Arrival {
            team: "t".into(),
            weight: 1,
            urgency: Urgency::Short,
            max_wait: Duration::from_secs(3),
        },
    };
    let mut now = Duration::from_secs(2);
    for _ in 0..500 {
        let mut running = Vec::new();
        for _ in 0..12 {
            match router.place(call.clone(), now) {
                Placement::Start(key) => running.push(key),
                other => panic!("12 calls on 64 slots: expected a start, got {other:?} at {now:?}"),
            }
        }
        now += Duration::from_millis(15);
        for key in running {
            router.pool.record_load(key, 3, now);
            router.finish(key, Finish::Completed, now);
        }
    }
}
