//! The replicas of one service in one data centre, in the order of their hashed addresses.
//!
//! The hash is that of the address, because a replica that restarts usually keeps it: the
//! subsets that contain the replica then stay as they are.

use std::{collections::BTreeMap, net::SocketAddr, ops::Bound, sync::Arc};

use crate::{Name, replica::Replica};

/// Distance up to which entries that were sent stay, in multiples of the distance up to which new
/// ones are selected.
const RETENTION: usize = 2;

/// A replica with the revision of the roster at which it last changed.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) replica: Arc<Replica>,
    pub(crate) revision: u64,
    /// See [`Listed::is_held`](crate::cursor::Listed::is_held).
    pub(crate) is_held: bool,
}

/// Key of an entry: the hash of the address, then the id.
pub(crate) type Position = (u64, Name);

/// Position of a replica on its ring.
pub(crate) fn position(address: SocketAddr, id: &Name) -> Position {
    (winch_hash::name(&address.to_string()), id.clone())
}

/// Replicas in the order of their positions.
#[derive(Debug, Default)]
pub(crate) struct Ring {
    entries: BTreeMap<Position, Entry>,
}

impl Ring {
    pub(crate) fn insert(&mut self, position: Position, entry: Entry) {
        self.entries.insert(position, entry);
    }

    pub(crate) fn get_mut(&mut self, position: &Position) -> Option<&mut Entry> {
        self.entries.get_mut(position)
    }

    pub(crate) fn remove(&mut self, position: &Position) {
        self.entries.remove(position);
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// All entries once, beginning at `start` and going around.
    pub(crate) fn walk(&self, start: u64) -> impl Iterator<Item = &Entry> {
        let start: Position = (start, "".into());
        let after = self.entries.range((Bound::Included(&start), Bound::Unbounded));
        let before = self.entries.range((Bound::Unbounded, Bound::Excluded(&start)));
        after.chain(before).map(|(_, entry)| entry)
    }

    /// The entries that a daemon at `start` needs when it is to know `count` replicas that do
    /// not drain.
    ///
    /// An entry that was sent to it before stays until it is twice as far away, and one that
    /// drains until it is removed: replicas that leave and return then change few subsets.
    pub(crate) fn select(
        &self,
        start: u64,
        count: usize,
        was_sent: impl Fn(&Replica) -> bool,
    ) -> impl Iterator<Item = &Entry> {
        let mut passed = 0;
        self.walk(start)
            .map(move |entry| {
                passed += usize::from(!entry.replica.draining);
                (passed, entry)
            })
            .take_while(move |(passed, _)| *passed <= count * RETENTION)
            .filter(move |(passed, entry)| {
                (*passed <= count && !entry.replica.draining) || was_sent(&entry.replica)
            })
            .map(|(_, entry)| entry)
    }
}
