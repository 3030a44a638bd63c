//! The deltas that a follower receives, at whatever times, lead it to its part of the current
//! list, also through the wire.

mod common;

use std::{collections::BTreeMap, sync::Arc};

use common::{Follower, replica};
use proptest::prelude::*;
use prost::Message;
use winch_roster::{
    cursor::Cursor,
    frame,
    interest::Interest,
    roster::{Change, Roster},
};

/// A change of the list: replica, data centre, and what happens to it.
type Step = (u32, u8, u8);

fn step() -> impl Strategy<Value = Step> {
    (0_u32..24, 0_u8..3, 0_u8..5)
}

fn apply(roster: &mut Roster, (number, dc, kind): Step) {
    let mut replica = (*replica(number, ["a", "b", "c"][usize::from(dc)])).clone();
    match kind {
        0 => return roster.apply(Change::Removed(replica.id)),
        1 => replica.draining = true,
        4 => return roster.apply(Change::Held(replica.id)),
        // Another replica at the same address, as after a restart.
        2 => replica.id = format!("j-{number}").into(),
        _ => {}
    }
    roster.apply(Change::Put(replica.into()));
}

proptest! {
    #[test]
    fn whole_lists_agree(steps in prop::collection::vec((step(), any::<bool>()), 1..120)) {
        let mut roster = Roster::default();
        let mut follower = Follower::new(Interest::whole("a".into()));
        for (step, updates) in steps {
            apply(&mut roster, step);
            if updates {
                follower.update(&roster);
            }
        }
        follower.update(&roster);
        let mut fresh = Follower::new(Interest::whole("a".into()));
        prop_assert!(fresh.update(&roster).whole);
        prop_assert_eq!(&follower.known, &fresh.known);
        prop_assert_eq!(follower.known.len(), roster.len());
        let addresses: BTreeMap<_, _> =
            follower.known.values().map(|replica| (replica.address, ())).collect();
        prop_assert_eq!(addresses.len(), roster.len(), "one replica listens on an address");
    }

    #[test]
    fn subsets_current(
        steps in prop::collection::vec((step(), any::<bool>()), 1..120),
        limit in 1_usize..8,
        position: u64,
    ) {
        let interest = Interest { dc: "a".into(), position, limit: Some(limit) };
        let mut roster = Roster::default();
        let mut follower = Follower::new(interest.clone());
        for (step, updates) in steps {
            apply(&mut roster, step);
            if updates {
                follower.update(&roster);
            }
        }
        follower.update(&roster);
        let mut all = Follower::new(Interest::whole("a".into()));
        all.update(&roster);
        for (id, replica) in &follower.known {
            prop_assert_eq!(Some(replica), all.known.get(id), "nothing outdated is kept");
        }
        let mut fresh = Follower::new(interest);
        fresh.update(&roster);
        for id in fresh.known.keys() {
            prop_assert!(follower.known.contains_key(id), "{id} is missing");
        }
        let usable = |dc: &str, known: &BTreeMap<_, Arc<winch_roster::replica::Replica>>| {
            known.values().filter(|replica| !replica.draining && *replica.dc == *dc).count()
        };
        prop_assert!(usable("a", &follower.known) >= limit.min(usable("a", &all.known)));
        prop_assert!(follower.update(&roster).is_empty(), "a second delta has nothing to add");
    }

    #[test]
    fn frames_round_trip(steps in prop::collection::vec(step(), 1..60)) {
        let mut roster = Roster::default();
        steps.into_iter().for_each(|step| apply(&mut roster, step));
        let delta = Cursor::new(Interest::whole("a".into())).advance(&roster, &Default::default());
        let bytes = frame::Delta::from(&delta).encode_to_vec();
        let decoded = frame::Delta::decode(&*bytes).unwrap().decode_delta();
        prop_assert_eq!(decoded, Ok(delta));
    }

    #[test]
    fn any_bytes_decoded(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        // Only a panic fails.
        if let Ok(frame) = frame::Delta::decode(&*bytes) {
            let _ = frame.decode_delta();
        }
    }
}
