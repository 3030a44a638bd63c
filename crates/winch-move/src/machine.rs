//! Decides the next step of a move.
//!
//! A daemon passes in the fleet's evidence and the time, and stores the returned step
//! in the move's record. Only the daemon that holds the move's lease may advance it.

use crate::{
    batch::Batches,
    evidence::{self, Finding, Tally},
    schedule,
    verdict::Verdict,
};

/// Start and deadline of a move, in seconds since an origin that
/// [`Input::now`] shares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    /// Time from which traffic may move.
    pub start: f64,
    /// Time by which all traffic must have moved.
    pub deadline: f64,
}

/// What a daemon knows about a move at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Input {
    /// Seconds since the origin of the move's [`Window`].
    pub now: f64,
    /// Counts of the new version in this stage, summed over the fleet.
    pub new: Tally,
    /// Counts of the old version in this stage, summed over the fleet.
    pub old: Tally,
    /// Whether any daemon found a fault of the new version in its own evidence.
    pub fault_found: bool,
    /// Whether an operator cancelled the move.
    pub cancelled: bool,
    /// Whether this daemon is certain to hold the lease now.
    pub lease_held: bool,
}

/// The next step of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Stay in the current stage.
    Hold,
    /// Advance to this stage.
    Advance(u32),
    /// End the move with this verdict, for this reason.
    End(Verdict, &'static str),
}

/// The state of a move on one daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Machine {
    window: Window,
    options: evidence::Options,
    stage: u32,
    /// Time at which this daemon entered the stage or took over the move in it, in seconds.
    stage_began: f64,
    /// Evidence of slowness in the stage.
    batches: Batches,
}

/// Minimum time in one stage, in seconds.
const MIN_STAGE_SECS: f64 = 3.0;
/// Shortest time in which a move passes through all its stages, in seconds.
pub const MIN_MOVE_SECS: f64 = MIN_STAGE_SECS * schedule::LAST_STAGE as f64;
/// Longest time before the deadline at which a move without enough evidence ends, in seconds, so
/// that its verdict is stored in time.
const MAX_MARGIN_SECS: f64 = 2.0;
/// The same as a share of the time from start to deadline.
const MARGIN_SHARE: f64 = 0.1;

impl Machine {
    /// Creates the state of a move that is in `stage` when this daemon takes it
    /// over at `now`, in seconds since the origin of `window`.
    pub fn new(window: Window, options: evidence::Options, stage: u32, now: f64) -> Self {
        Self { window, options, stage, stage_began: now, batches: Batches::default() }
    }

    /// The current stage.
    pub fn stage(&self) -> u32 {
        self.stage
    }

    /// Decides the next step.
    ///
    /// [`Verdict::TakenBack`] needs no lease: returning all traffic to the old version
    /// can only make the fleet safer, and compare-and-set on the record lets only one
    /// verdict stand. Every other change needs the lease.
    pub fn step(&mut self, input: &Input) -> Decision {
        if input.fault_found {
            return Decision::End(Verdict::TakenBack, "a daemon found a fault");
        }
        let options = self.options.at_stage(self.stage);
        self.batches.update(input.new, input.now);
        match self.batches.test(input.new, input.old, &options, 1) {
            Finding::Failing => return Decision::End(Verdict::TakenBack, "it fails more often"),
            Finding::Slow => return Decision::End(Verdict::TakenBack, "it is slower"),
            Finding::Good => {
                if input.lease_held && self.may_advance(input.now) && !input.cancelled {
                    return self.advance(input.now);
                }
            }
            Finding::Open => {}
        }
        if !input.lease_held {
            return Decision::Hold;
        }
        if input.cancelled {
            return Decision::End(Verdict::Cancelled, "an operator called it off");
        }
        if input.now >= self.last_decision() {
            return Decision::End(
                Verdict::Expired,
                "there was not enough evidence before the deadline",
            );
        }
        // Stage 0 sends no requests to the new version, so it yields no evidence to wait for.
        if self.stage == 0 && input.now >= self.window.start {
            return self.advance(input.now);
        }
        Decision::Hold
    }

    /// When a move without enough evidence ends, in seconds.
    fn last_decision(&self) -> f64 {
        let Window { start, deadline } = self.window;
        deadline - ((deadline - start) * MARGIN_SHARE).clamp(0.0, MAX_MARGIN_SECS)
    }

    /// Whether the current stage has lasted long enough and the schedule allows the next one.
    fn may_advance(&self, now: f64) -> bool {
        let next = self.stage + 1;
        let earliest = schedule::earliest_start(next, self.window.start, self.window.deadline);
        self.stage > 0 && now >= self.stage_began + MIN_STAGE_SECS && now >= earliest
    }

    fn advance(&mut self, now: f64) -> Decision {
        if self.stage >= schedule::LAST_STAGE {
            return Decision::End(Verdict::Completed, "all traffic moved and the version is good");
        }
        self.stage += 1;
        self.stage_began = now;
        self.batches.restart();
        Decision::Advance(self.stage)
    }

    /// Whether the move is likely to miss its deadline; false before its start.
    ///
    /// Assumes that each remaining stage, including the current one, still needs as
    /// long as the current one is overdue, and at least the minimum time of a stage.
    pub fn is_late(&self, now: f64) -> bool {
        if now < self.window.start {
            return false;
        }
        let remaining_stages =
            f64::from(schedule::LAST_STAGE + 1 - self.stage.min(schedule::LAST_STAGE));
        let earliest =
            schedule::earliest_start(self.stage + 1, self.window.start, self.window.deadline);
        let overdue = (now - earliest.max(self.stage_began + MIN_STAGE_SECS)).max(0.0);
        now + remaining_stages * overdue.max(MIN_STAGE_SECS) > self.window.deadline
    }
}
