//! What facts from peers mean to this daemon, and how its own are written.

use winch_config::change::Change;
use winch_gossip::facts::Fact;
use winch_route::suspect::{Crash, Fingerprint};
use winch_wire::message::Evidence;

use super::config::Offer;
use crate::prelude::*;

const STRIKE_LIFE: Duration = Duration::from_secs(600);
const LEAVE_LIFE: Duration = Duration::from_secs(600);

/// The fact that tells of a committed change.
pub fn change(change: &Change) -> Fact {
    let body = serde_json::to_vec(change).expect("a change is plain data");
    Fact::new("config", change.revision, body)
}

/// The fact that tells of a strike.
pub fn strike(fingerprint: Fingerprint, death: Crash) -> Fact {
    let key = format!("strike/{:016x}/{:016x}", fingerprint.0, death.0);
    Fact::new(key, 1, "").with_life(STRIKE_LIFE)
}

/// The fact that an upstream leaves, or has come back.
pub fn leave(upstream: &str, leaving: bool) -> Fact {
    let body = if leaving { "1" } else { "0" };
    Fact::new(format!("leave/{upstream}"), unix_now(), body).with_life(LEAVE_LIFE)
}

/// Applies a fact.
pub fn apply(fleet: &Arc<Fleet>, fact: &Fact, now: Duration) {
    if &*fact.key == "config" {
        apply_change(fleet, fact);
    } else if let Some(names) = fact.key.strip_prefix("strike/") {
        apply_strike(fleet, names, now);
    } else if let Some(name) = fact.key.strip_prefix("leave/") {
        apply_leave(fleet, name, &fact.body, now);
    } else {
        fleet.trials().learn(fact, now);
    }
}

fn apply_change(fleet: &Arc<Fleet>, fact: &Fact) {
    let known = fleet.view.load().revision();
    if fact.version <= known {
        return;
    }
    let change = serde_json::from_slice::<Change>(&fact.body).ok();
    match change.filter(|change| change.revision == known + 1) {
        Some(change) => fleet.offer(Offer(change)),
        // Revisions are missing in between; the table has them, and so have peers.
        None => fleet.poll_config(fact.version),
    }
}

fn apply_strike(fleet: &Fleet, names: &str, now: Duration) {
    let Some((fingerprint, death)) = names.split_once('/') else {
        return;
    };
    let number = |text| u64::from_str_radix(text, 16).ok();
    if let (Some(fingerprint), Some(death)) = (number(fingerprint), number(death)) {
        fleet.board().record_crash(Crash(death), &[Fingerprint(fingerprint)], now);
    }
}

fn apply_leave(fleet: &Fleet, name: &str, body: &[u8], now: Duration) {
    let mut routing = fleet.routing();
    match body {
        b"1" => routing.router.pool.mark_leaving(name.into()),
        _ => routing.router.pool.rejoin(name, now),
    }
}

/// Takes in evidence that a peer tells the holder of a move.
pub fn evidence(fleet: &Fleet, from: Name, told: &Evidence) {
    let mut trials = fleet.trials();
    let Some(trial) = trials.get_mut(&told.name) else {
        return;
    };
    let stage = trial.machine.as_ref().map(winch_move::machine::Machine::stage);
    if stage == Some(told.stage) {
        let tally = |tally: Option<winch_wire::message::Tally>| {
            let tally = tally.unwrap_or_default();
            winch_move::evidence::Tally { good: tally.good, failed: tally.failed, slow: tally.slow }
        };
        trial.told.insert(from, (tally(told.new), tally(told.old)));
    }
}
