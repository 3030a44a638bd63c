//! Stages of a move and the share of traffic that each carries.

/// The last stage, in which all traffic has moved.
pub const LAST_STAGE: u32 = 5;

/// Part of the time between start and deadline in which the stages are raised.
const RAISING: f64 = 0.6;

/// Share of a route's requests that stage `stage` sends to the new version.
///
/// Stage 1 carries what loads one replica normally, so that faults that need
/// load show while the fleet's share is still small. `old_replicas` is the
/// number of replicas that carry the whole traffic now.
pub fn share(stage: u32, old_replicas: usize) -> f64 {
    let one = 1.0 / old_replicas.max(1) as f64;
    match stage {
        0 => 0.0,
        1 => one.min(0.05),
        2 => one.max(0.05),
        3 => one.max(0.25),
        4 => one.max(0.5),
        _ => 1.0,
    }
}

/// Number of new replicas that carry a stage's share at normal load.
pub fn replicas(stage: u32, old_replicas: usize, new_replicas: usize) -> usize {
    if stage >= LAST_STAGE {
        return new_replicas;
    }
    let wanted = (share(stage, old_replicas) * old_replicas as f64).ceil() as usize;
    wanted.clamp(1, new_replicas.max(1))
}

/// Whether request number `request` goes to the new version at this share.
pub fn is_in_share(request: u64, share: f64) -> bool {
    (request as f64) < share * u64::MAX as f64
}

/// Earliest time, in seconds, at which stage `stage` may begin.
pub fn earliest_start(stage: u32, start: f64, deadline: f64) -> f64 {
    let part = f64::from(stage.saturating_sub(1)) / f64::from(LAST_STAGE);
    start + RAISING * (deadline - start) * part
}
