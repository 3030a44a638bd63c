//! The changes that a follower receives lead it to the current list, whichever version of the
//! list it had before.

use std::{collections::BTreeMap, sync::Arc};

use proptest::prelude::*;
use winch_relay::{catalog::Transition, changelog::Changelog, replica::Replica};

type List = BTreeMap<String, Arc<Replica>>;

fn replica(number: u8, slots: u32) -> Arc<Replica> {
    Arc::new(Replica {
        id: format!("i-{number}").into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 1).into(),
        dc: "a".into(),
        version: "v1".into(),
        slots,
        draining: false,
        started_at_ms: None,
    })
}

fn apply(list: &mut List, transition: &Transition) {
    let id = transition.replica().id.to_string();
    match transition {
        Transition::Removed(_) => drop(list.remove(&id)),
        _ => drop(list.insert(id, transition.replica().clone())),
    }
}

proptest! {
    #[test]
    fn followers_agree(
        steps in prop::collection::vec((0_u8..6, any::<bool>(), any::<bool>()), 1..60),
        read_at in 0_usize..60,
        sent_at in 0_usize..60,
    ) {
        let (mut changelog, mut list) = (Changelog::default(), List::new());
        changelog.record(&[], 1);
        let (mut version, mut slots) = (1, 0);
        // One follower has read the list itself, another one has received the changes so far.
        let (mut read, mut sent) = (None, None);
        for (step, (number, toggled, raises_version)) in steps.into_iter().enumerate() {
            version += u64::from(raises_version);
            slots += 1;
            let is_known = list.contains_key(&format!("i-{number}"));
            let transition = match (toggled, is_known) {
                (true, true) => Transition::Removed(replica(number, 0)),
                (true, false) => Transition::Added(replica(number, slots)),
                (false, _) => Transition::Changed(replica(number, slots)),
            };
            apply(&mut list, &transition);
            changelog.record(&[transition], version);
            if step == read_at {
                read = Some((version, list.clone()));
            }
            if step == sent_at {
                sent = Some((changelog.number(), list.clone()));
            }
        }
        if let Some((version, mut follower)) = read {
            let changes = changelog.since_version(version).expect("few changes are all kept");
            changes.values().for_each(|transition| apply(&mut follower, transition));
            prop_assert_eq!(&follower, &list);
        }
        if let Some((number, mut follower)) = sent {
            let changes = changelog.since_number(number).expect("few changes are all kept");
            changes.values().for_each(|transition| apply(&mut follower, transition));
            prop_assert_eq!(&follower, &list);
        }
    }
}

#[test]
fn dropped_changes_unavailable() {
    let mut changelog = Changelog::default();
    assert!(changelog.since_version(0).is_none(), "the list was not read yet");
    for version in 1..10_000 {
        changelog.record(&[Transition::Changed(replica(1, 4))], version);
    }
    assert!(changelog.since_version(5).is_none());
    assert!(changelog.since_number(5).is_none());
    assert_eq!(changelog.since_version(9_998).map(|changes| changes.len()), Some(1));
}
