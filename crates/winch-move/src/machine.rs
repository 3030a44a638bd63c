//! Decides the next step of a move, on the daemon that holds the move's lease.

use crate::{
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

/// What the lease holder observes at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Input {
    /// Seconds since the origin of the move's [`Window`].
    pub now: f64,
    /// Counts of the new version in this stage, summed over the fleet.
    pub new: Tally,
    /// Counts of the old version in this stage, summed over the fleet.
    pub old: Tally,
    /// Whether any daemon found a fault from its own evidence.
    pub fault: bool,
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

/// The state of a move on its lease holder.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Machine {
    window: Window,
    options: evidence::Options,
    stage: u32,
    stage_since: f64,
}

/// Minimum time in one stage, in seconds.
const MIN_STAGE_SECS: f64 = 3.0;

impl Machine {
    /// Creates the state of a move that is in `stage` when this daemon takes it
    /// over at `now`.
    pub fn new(window: Window, options: evidence::Options, stage: u32, now: f64) -> Self {
        Self { window, options, stage, stage_since: now }
    }

    /// The current stage.
    pub fn stage(&self) -> u32 {
        self.stage
    }

    /// Decides the next step.
    ///
    /// Taking a faulty version back needs no lease: it returns traffic to the
    /// old version, and compare-and-set on the record lets only one verdict
    /// stand. Every other change needs the lease.
    pub fn step(&mut self, input: &Input) -> Decision {
        if input.fault {
            return Decision::End(Verdict::TakenBack, "a daemon found a fault");
        }
        let options = self.options.at_stage(self.stage);
        match evidence::test(input.new, input.old, &options, 1) {
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
        if input.now >= self.window.deadline {
            return Decision::End(Verdict::Expired, "the deadline passed without enough evidence");
        }
        // Stage 0 sends no requests to the new version, so it yields no evidence to wait for.
        if self.stage == 0 && input.now >= self.window.start {
            return self.advance(input.now);
        }
        Decision::Hold
    }

    fn may_advance(&self, now: f64) -> bool {
        let next = self.stage + 1;
        let due = schedule::earliest_start(next, self.window.start, self.window.deadline);
        self.stage > 0 && now >= self.stage_since + MIN_STAGE_SECS && now >= due
    }

    fn advance(&mut self, now: f64) -> Decision {
        if self.stage >= schedule::LAST_STAGE {
            return Decision::End(Verdict::Completed, "all traffic moved and the version is good");
        }
        self.stage += 1;
        self.stage_since = now;
        Decision::Advance(self.stage)
    }

    /// Whether the move is likely to miss its deadline.
    ///
    /// Assumes that each remaining stage takes as long as the current one is
    /// overdue, and at least the minimum time of a stage.
    pub fn is_late(&self, now: f64) -> bool {
        if now < self.window.start {
            return false;
        }
        let remaining = f64::from(schedule::LAST_STAGE + 1 - self.stage.min(schedule::LAST_STAGE));
        let due = schedule::earliest_start(self.stage + 1, self.window.start, self.window.deadline);
        let overdue = (now - due.max(self.stage_since + MIN_STAGE_SECS)).max(0.0);
        now + remaining * overdue.max(MIN_STAGE_SECS) > self.window.deadline
    }
}
