//! Changes told to followers bring them to the same list, whatever they knew before.

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

fn apply(list: &mut List, news: &Transition) {
    let id = news.replica().id.to_string();
    match news {
        Transition::Removed(_) => drop(list.remove(&id)),
        _ => drop(list.insert(id, news.replica().clone())),
    }
}

proptest! {
    #[test]
    fn followers_agree(
        steps in prop::collection::vec((0_u8..6, any::<bool>(), any::<bool>()), 1..60),
        read_at in 0_usize..60,
        told_at in 0_usize..60,
    ) {
        let (mut changelog, mut list) = (Changelog::default(), List::new());
        changelog.record(&[], 1);
        let (mut version, mut slots) = (1, 0);
        // One follower has read the list itself, another has been told until some change.
        let (mut read, mut told) = (None, None);
        for (step, (number, gone, newer)) in steps.into_iter().enumerate() {
            version += u64::from(newer);
            slots += 1;
            let known = list.contains_key(&format!("i-{number}"));
            let news = match (gone, known) {
                (true, true) => Transition::Removed(replica(number, 0)),
                (true, false) => Transition::Listed(replica(number, slots)),
                (false, _) => Transition::Changed(replica(number, slots)),
            };
            apply(&mut list, &news);
            changelog.record(&[news], version);
            if step == read_at {
                read = Some((version, list.clone()));
            }
            if step == told_at {
                told = Some((changelog.number(), list.clone()));
            }
        }
        if let Some((version, mut mine)) = read {
            let changes = changelog.since_version(version).expect("few changes are all kept");
            changes.values().for_each(|news| apply(&mut mine, news));
            prop_assert_eq!(&mine, &list);
        }
        if let Some((number, mut mine)) = told {
            let changes = changelog.since_number(number).expect("few changes are all kept");
            changes.values().for_each(|news| apply(&mut mine, news));
            prop_assert_eq!(&mine, &list);
        }
    }
}

#[test]
fn lost_history_told_whole() {
    let mut changelog = Changelog::default();
    assert!(changelog.since_version(0).is_none(), "nothing was read yet");
    for version in 1..10_000 {
        changelog.record(&[Transition::Changed(replica(1, 4))], version);
    }
    assert!(changelog.since_version(5).is_none());
    assert!(changelog.since_number(5).is_none());
    assert_eq!(changelog.since_version(9_998).map(|changes| changes.len()), Some(1));
}
