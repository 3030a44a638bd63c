//! Replicas and followers for the tests of this crate.

// Each test target uses only a part of this module.
#![allow(dead_code, unreachable_pub)]

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use winch_roster::{
    Name,
    cursor::{Cursor, Delta},
    interest::Interest,
    position::Position,
    replica::Replica,
    roster::{Change, Roster},
};

/// Replica `number` of service `s`, with an address of its own.
pub fn replica(number: u32, dc: &str) -> Arc<Replica> {
    let [_, a, b, c] = number.to_be_bytes();
    Arc::new(Replica {
        id: format!("i-{number}").into(),
        service: "s".into(),
        address: ([10, a, b, c], 80).into(),
        dc: dc.into(),
        version: "v1".into(),
        slots: 4,
        draining: false,
        started_at_ms: Some(1_700_000_000_000 + u64::from(number)),
    })
}

/// A list with `per_dc` replicas in each data centre.
pub fn roster(dcs: &[&str], per_dc: u32) -> Roster {
    let mut roster = Roster::default();
    for (dc, first) in dcs.iter().zip((0..).step_by(per_dc as usize)) {
        for number in first..first + per_dc {
            roster.apply(Change::Put(replica(number, dc)));
        }
    }
    roster.confirm(Position { era: 0, version: 1 }, true);
    roster
}

/// A follower's part of the list, as the received deltas make it.
pub struct Follower {
    pub cursor: Cursor,
    pub known: BTreeMap<Name, Arc<Replica>>,
}

impl Follower {
    pub fn new(interest: Interest) -> Self {
        Self { cursor: Cursor::new(interest), known: BTreeMap::new() }
    }

    /// Receives what it lacks, and returns the delta.
    pub fn update(&mut self, roster: &Roster) -> Delta {
        self.update_with(roster, &BTreeSet::new())
    }

    pub fn update_with(&mut self, roster: &Roster, unlimited: &BTreeSet<Name>) -> Delta {
        let delta = self.cursor.advance(roster, unlimited);
        if delta.complete {
            self.known.clear();
        }
        for listed in &delta.put {
            self.known.insert(listed.replica.id.clone(), listed.replica.clone());
        }
        for id in &delta.removed {
            self.known.remove(id);
        }
        delta
    }

    pub fn count(&self, dc: &str) -> usize {
        self.known.values().filter(|replica| *replica.dc == *dc).count()
    }
}
