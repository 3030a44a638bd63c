//! Facts that daemons exchange: their encoding, and their effect on this daemon.
//!
//! Keys are `config`, `strike/…` and `leave/…`; facts with other keys concern
//! version moves.

use winch_config::change::Change;
use winch_gossip::facts::Fact;
use winch_route::suspect::{Crash, Fingerprint};
use winch_wire::message::Evidence;

use super::config::ApplyChange;
use crate::prelude::*;

const STRIKE_TTL: Duration = Duration::from_secs(600);
const LEAVE_TTL: Duration = Duration::from_secs(600);

/// The fact of a committed change; its version is the revision.
pub fn change(change: &Change) -> Fact {
    let body = serde_json::to_vec(change).expect("a change serialises to JSON");
    Fact::new("config", change.revision, body)
}

/// The fact of a strike: the request with this fingerprint ran on a replica that crashed.
pub fn strike(fingerprint: Fingerprint, crash: Crash) -> Fact {
    let key = format!("strike/{:016x}/{:016x}", fingerprint.0, crash.0);
    Fact::new(key, 1, "").with_ttl(STRIKE_TTL)
}

/// The fact that an upstream leaves or has come back; its version is the current Unix time.
pub fn leave(upstream: &str, is_leaving: bool) -> Fact {
    let body = if is_leaving { "1" } else { "0" };
    Fact::new(format!("leave/{upstream}"), unix_now(), body).with_ttl(LEAVE_TTL)
}

/// Applies a fact to the state of this daemon.
pub fn apply(fleet: &Arc<Fleet>, fact: &Fact, now: Duration) {
    if &*fact.key == "config" {
        apply_change(fleet, fact);
    } else if let Some(ids) = fact.key.strip_prefix("strike/") {
        apply_strike(fleet, ids, now);
    } else if let Some(name) = fact.key.strip_prefix("leave/") {
        apply_leave(fleet, name, &fact.body, now);
    } else {
        fleet.rollouts().apply(fact, now);
    }
}

fn apply_change(fleet: &Arc<Fleet>, fact: &Fact) {
    let current = fleet.snapshot.load().revision();
    if fact.version <= current {
        return;
    }
    let change = serde_json::from_slice::<Change>(&fact.body).ok();
    match change.filter(|change| change.revision == current + 1) {
        Some(change) => fleet.apply_change(ApplyChange(change)),
        // Revisions in between are missing; they are read from the table or from peers.
        None => fleet.poll_config(fact.version),
    }
}

fn apply_strike(fleet: &Fleet, ids: &str, now: Duration) {
    let Some((fingerprint, crash)) = ids.split_once('/') else {
        return;
    };
    let parse = |text| u64::from_str_radix(text, 16).ok();
    if let (Some(fingerprint), Some(crash)) = (parse(fingerprint), parse(crash)) {
        fleet.suspects().record_crash(Crash(crash), &[Fingerprint(fingerprint)], now);
    }
}

fn apply_leave(fleet: &Fleet, name: &str, body: &[u8], now: Duration) {
    let mut routing = fleet.routing();
    match body {
        b"1" => routing.router.pool.mark_leaving(name.into()),
        _ => routing.router.pool.rejoin(name, now),
    }
}

/// Stores the evidence that the peer `from` reports to this daemon as the holder of the move's
/// lease.
///
/// Evidence about another stage than the current one is ignored, as is all evidence while this
/// daemon does not act as the holder.
pub fn apply_evidence(fleet: &Fleet, from: Name, report: &Evidence) {
    let mut rollouts = fleet.rollouts();
    let Some(rollout) = rollouts.get_mut(&report.name) else {
        return;
    };
    let stage = rollout.machine.as_ref().map(winch_move::machine::Machine::stage);
    if stage == Some(report.stage) {
        let tally = |tally: Option<winch_wire::message::Tally>| {
            let tally = tally.unwrap_or_default();
            winch_move::evidence::Tally { good: tally.good, failed: tally.failed, slow: tally.slow }
        };
        rollout.reports.insert(from, (tally(report.new), tally(report.old)));
    }
}
