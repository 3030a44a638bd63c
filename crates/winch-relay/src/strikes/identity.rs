//! What identifies a request and the parts of its prompt in strikes.

use winch_route::{
    quarantine::Part,
    suspect::{self, Fingerprint},
};

use crate::prelude::*;

/// The parts that the prompt of a request for `service` may share with other requests: all but
/// the last one, which is the request's own.
pub fn shared_parts(call: &Call, service: &str) -> Arc<[Part]> {
    let shared = call.prompt.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().map(|part| Part::new(service, &part.id)).collect()
}

/// The fingerprint of a request, which is the same when its caller sends it again.
pub fn fingerprint(call: &Call, team: Option<&Name>) -> Fingerprint {
    let body = String::from_utf8_lossy(&call.body);
    suspect::fingerprint(team.map_or("", |team| team), &call.target, &body)
}
