//! Stages of a move and the share of traffic of each stage.

/// The last stage, in which the new version gets all requests.
pub const LAST_STAGE: u32 = 5;

/// Fraction of the time between start and deadline over which the earliest
/// starts of the stages are spread.
const ADVANCE_FRACTION: f64 = 0.6;

/// Returns the fraction of a route's requests that go to the new version in
/// `stage`.
///
/// Stage 1 carries the normal load of one replica, at most 5 %, so that faults
/// that only show under load appear while the fleet's share is still small.
/// `old_replicas` is the number of replicas of the old version, which carry the
/// whole traffic before the move.
pub fn share(stage: u32, old_replicas: usize) -> f64 {
    let one_replica = 1.0 / old_replicas.max(1) as f64;
    match stage {
        0 => 0.0,
        1 => one_replica.min(0.05),
        2 => one_replica.max(0.05),
        3 => one_replica.max(0.25),
        4 => one_replica.max(0.5),
        _ => 1.0,
    }
}

/// Returns the number of new replicas that carry the share of `stage` at normal
/// load: all of them in the last stage, at least one in the others.
pub fn replica_count(stage: u32, old_replicas: usize, new_replicas: usize) -> usize {
    if stage >= LAST_STAGE {
        return new_replicas;
    }
    let wanted = (share(stage, old_replicas) * old_replicas as f64).ceil() as usize;
    wanted.clamp(1, new_replicas.max(1))
}

/// Whether the request with id `request` goes to the new version at `share`, a
/// fraction of all requests.
///
/// Ids must be uniformly distributed. A request that is in a share is in every
/// larger one too.
pub fn is_in_share(request: u64, share: f64) -> bool {
    (request as f64) < share * u64::MAX as f64
}

/// Returns the earliest time at which `stage` may begin, in the unit of `start`
/// and `deadline` (seconds).
pub fn earliest_start(stage: u32, start: f64, deadline: f64) -> f64 {
    let fraction = f64::from(stage.saturating_sub(1)) / f64::from(LAST_STAGE);
    start + ADVANCE_FRACTION * (deadline - start) * fraction
}
