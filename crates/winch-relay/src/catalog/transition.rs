//! Changes of the catalog, and the changes of the list from which they follow.

use crate::{prelude::*, replica, store::Change};

/// A change of the catalog.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Transition {
    /// A replica was added: it is new, has restarted or listens on a new address.
    Added(Arc<Replica>),
    /// Another field of a known replica has changed.
    Changed(Arc<Replica>),
    /// A known or added replica drains: it gets no new requests.
    Draining(Arc<Replica>),
    /// A replica is no longer listed, but may only have expired in an outage; it stays in the
    /// catalog until it is removed or listed again.
    Held(Arc<Replica>),
    /// A replica is no longer in the catalog.
    Removed(Arc<Replica>),
}

impl Transition {
    /// The replica that has changed.
    pub fn replica(&self) -> &Arc<Replica> {
        match self {
            Self::Added(replica)
            | Self::Changed(replica)
            | Self::Draining(replica)
            | Self::Held(replica)
            | Self::Removed(replica) => replica,
        }
    }
}

impl Change {
    /// The change for a daemon that knows no replica at all: it tries also those that may be gone.
    pub(crate) fn assume_alive(self) -> Self {
        match self {
            Self::Held(replica) => Self::Put(replica),
            change => change,
        }
    }

    /// The change as it can be used: a replica whose id no request can name is none to use.
    pub(crate) fn checked(self) -> Self {
        match self {
            Self::Put(replica) | Self::Held(replica)
                if replica::encode_id(&replica.id).is_none() =>
            {
                let fault = "the id cannot be sent in a header".to_owned();
                Self::Unreadable { id: replica.id, fault }
            }
            change => change,
        }
    }

    /// Id of the replica that has changed.
    pub fn id(&self) -> &Name {
        match self {
            Self::Put(replica) | Self::Held(replica) => &replica.id,
            Self::Removed(id) | Self::Unreadable { id, .. } => id,
        }
    }
}
