//! What an operator sees of the fleet through one daemon.

use serde_json::{Value, json};
use winch_move::schedule;
use winch_route::{candidate::Candidate, pool::Key};

use super::peers::{Members, wait_confirmed};
use crate::{prelude::*, trial::Trial};

/// The daemon's view of the fleet, for `status`.
pub async fn collect(fleet: &Arc<Fleet>) -> Value {
    let now = fleet.now();
    let view = fleet.view.load_full();
    let upstreams = upstreams(fleet, now);
    let moves = moves(fleet, now);
    let members = match fleet.link() {
        Some(link) => link.send(Members).await.unwrap_or_default(),
        None => Vec::new(),
    };
    let peers: Vec<Value> = members
        .iter()
        .map(|member| {
            json!({
                "name": member.name,
                "dc": member.dc,
                "address": member.address,
                "incarnation": member.incarnation,
                "state": format!("{:?}", member.state).to_lowercase(),
            })
        })
        .collect();
    json!({
        "daemon": fleet.settings.name,
        "incarnation": fleet.incarnation,
        "revision": view.revision(),
        "stopping": fleet.is_stopping(),
        "isolated": fleet.is_isolated(),
        "upstreams": upstreams,
        "moves": moves,
        "peers": peers,
    })
}

fn upstreams(fleet: &Fleet, now: Duration) -> Vec<Value> {
    let routing = fleet.routing();
    let pool = &routing.router.pool;
    let describe = |(key, replica): (Key, &Candidate)| {
        json!({
            "name": replica.spec.name,
            "dc": replica.spec.dc,
            "runs": replica.spec.runs,
            "inflight": replica.inflight(),
            "load": replica.load(pool.typical_load(&replica.spec.runs, now), now).round(),
            "limit": replica.limit(now),
            "ejected": replica.is_ejected(now),
            "leaving": pool.is_leaving(key),
        })
    };
    let mut upstreams: Vec<Value> = pool.iter().map(describe).collect();
    upstreams.sort_by_key(|upstream| upstream["name"].to_string());
    upstreams
}

fn moves(fleet: &Fleet, now: Duration) -> Vec<Value> {
    let trials = fleet.trials();
    let routing = fleet.routing();
    let describe = |trial: &Trial| {
        let old = routing.router.pool.all(&trial.planned.from).len();
        describe(trial, schedule::share(trial.stage(now), old), now)
    };
    trials.iter().map(describe).collect()
}

fn describe(trial: &Trial, share: f64, now: Duration) -> Value {
    let (new, old) = trial.pooled();
    json!({
        "name": trial.planned.name,
        "route": trial.planned.route,
        "from": trial.planned.from,
        "to": trial.planned.to,
        "stage": trial.stage(now),
        "share": share,
        "verdict": trial.verdict,
        "reason": trial.reason,
        "fault": trial.fault,
        "late": trial.told_late,
        "new": new,
        "old": old,
    })
}

/// Waits until a revision is in force everywhere; returns the daemons that did not confirm it.
pub async fn wait_in_force(fleet: &Arc<Fleet>, revision: u64, wait: Duration) -> Vec<Name> {
    match fleet.link() {
        Some(link) => wait_confirmed(&link, revision, wait).await,
        None => Vec::new(),
    }
}
