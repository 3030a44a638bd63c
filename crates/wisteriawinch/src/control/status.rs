//! The status report of one daemon for operators, and the wait until a revision is in force.

use serde_json::{Value, json};
use winch_move::schedule;
use winch_route::{candidate::Candidate, pool::Key};

use super::peers::{Members, wait_confirmed};
use crate::{prelude::*, rollout::Rollout};

/// Collects the status report: upstreams, version moves and peers as this daemon sees them.
pub async fn collect(fleet: &Arc<Fleet>) -> Value {
    let now = fleet.now();
    let snapshot = fleet.snapshot.load_full();
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
        "revision": snapshot.revision(),
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
    let describe = |(key, candidate): (Key, &Candidate)| {
        json!({
            "name": candidate.spec.name,
            "dc": candidate.spec.dc,
            "runs": candidate.spec.runs,
            "inflight": candidate.inflight(),
            "load": candidate.load(pool.typical_load(&candidate.spec.runs, now), now).round(),
            "limit": candidate.limit(now),
            "ejected": candidate.is_ejected(now),
            "leaving": pool.is_leaving(key),
        })
    };
    let mut upstreams: Vec<Value> = pool.iter().map(describe).collect();
    upstreams.sort_by_key(|upstream| upstream["name"].to_string());
    upstreams
}

fn moves(fleet: &Fleet, now: Duration) -> Vec<Value> {
    let rollouts = fleet.rollouts();
    let routing = fleet.routing();
    let describe = |rollout: &Rollout| {
        let old_replicas = routing.router.pool.all(&rollout.spec.from).len();
        describe_move(rollout, schedule::share(rollout.stage(now), old_replicas), now)
    };
    rollouts.iter().map(describe).collect()
}

fn describe_move(rollout: &Rollout, share: f64, now: Duration) -> Value {
    let (new, old) = rollout.pooled();
    json!({
        "name": rollout.spec.name,
        "route": rollout.spec.route,
        "from": rollout.spec.from,
        "to": rollout.spec.to,
        "stage": rollout.stage(now),
        "share": share,
        "verdict": rollout.verdict,
        "reason": rollout.reason,
        "fault": rollout.fault_found,
        "late": rollout.late_reported,
        "new": new,
        "old": old,
    })
}

/// Waits up to `wait` until a revision is in force at all peers that are alive or suspected.
///
/// Returns the names of those that have not confirmed it; none before the link has started.
pub async fn wait_in_force(fleet: &Arc<Fleet>, revision: u64, wait: Duration) -> Vec<Name> {
    match fleet.link() {
        Some(link) => wait_confirmed(&link, revision, wait).await,
        None => Vec::new(),
    }
}
