//! The replicas of a service that may serve a request.

use crate::prelude::*;

/// The replicas that may serve a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rule {
    /// All replicas of the service.
    Any,
    /// Only the replicas with these ids.
    Only {
        /// The ids.
        ids: Vec<Name>,
        /// Versions that are excluded as a whole.
        excluded: Vec<Name>,
    },
    /// All replicas except those of these versions.
    Except(Vec<Name>),
}

impl Rule {
    /// Allows all replicas except those of these versions.
    pub(super) fn except(versions: Vec<Name>) -> Self {
        if versions.is_empty() { Self::Any } else { Self::Except(versions) }
    }

    /// Whether the rule excludes `version` as a whole; it never does because [`Rule::Only`] contains no
    /// replica of that version.
    pub fn excludes(&self, version: &str) -> bool {
        match self {
            Self::Any => false,
            Self::Only { excluded, .. } | Self::Except(excluded) => {
                excluded.iter().any(|other| **other == *version)
            }
        }
    }

    /// Whether `replica` may serve the request.
    pub fn allows(&self, replica: &Replica) -> bool {
        match self {
            Self::Any => true,
            Self::Only { ids, .. } => ids.contains(&replica.id),
            Self::Except(versions) => !versions.contains(&replica.version),
        }
    }
}
