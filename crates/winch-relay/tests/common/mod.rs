//! What several tests of the crate need.

use winch_relay::replica::Replica;

/// A replica of service `s`.
pub(crate) fn replica(number: u16, version: &str) -> Replica {
    Replica {
        id: format!("{version}-{number}").into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], number).into(),
        dc: "a".into(),
        version: version.into(),
        slots: 6,
        draining: false,
        started_at_ms: None,
    }
}
