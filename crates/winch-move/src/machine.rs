//! Decisions of the daemon that holds a move's lease.

use crate::{
    evidence::{self, Finding, Tally},
    schedule,
    verdict::Verdict,
};

/// The move as planned, with times in seconds since the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    /// When traffic may start to move.
    pub start: f64,
    /// When all of it should have moved.
    pub deadline: f64,
}

/// What the holder knows at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Input {
    /// Seconds since the Unix epoch.
    pub now: f64,
    /// Counts of the new version in this stage, pooled over the fleet.
    pub new: Tally,
    /// Counts of the old version in this stage, pooled over the fleet.
    pub old: Tally,
    /// Whether any daemon found a fault on its own.
    pub fault: bool,
    /// Whether an operator called the move off.
    pub cancelled: bool,
    /// Whether the lease is certainly held now.
    pub lease_held: bool,
}

/// What the holder does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Keeps the stage.
    Hold,
    /// Raises the move to this stage.
    Advance(u32),
    /// Ends the move.
    End(Verdict, &'static str),
}

/// The state of a move at its holder.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Machine {
    plan: Window,
    options: evidence::Options,
    stage: u32,
    since: f64,
}

/// Least time in one stage, in seconds.
const DWELL: f64 = 3.0;

impl Machine {
    /// A move taken over in `stage` at `now`.
    pub fn new(plan: Window, options: evidence::Options, stage: u32, now: f64) -> Self {
        Self { plan, options, stage, since: now }
    }

    /// The present stage.
    pub fn stage(&self) -> u32 {
        self.stage
    }

    /// Decides what to do next.
    ///
    /// Taking back needs no lease: it can only make the fleet safer, and the
    /// record's compare-and-set lets one verdict stand. Raising does.
    pub fn step(&mut self, input: &Input) -> Decision {
        if input.fault {
            return Decision::End(Verdict::TakenBack, "a daemon found a fault");
        }
        let options = self.options.at_stage(self.stage);
        match evidence::test(input.new, input.old, &options, 1) {
            Finding::Failing => return Decision::End(Verdict::TakenBack, "it fails more often"),
            Finding::Slow => return Decision::End(Verdict::TakenBack, "it is slower"),
            Finding::Good => {
                if input.lease_held && self.may_raise(input.now) && !input.cancelled {
                    return self.raise(input.now);
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
        if input.now >= self.plan.deadline {
            return Decision::End(Verdict::Expired, "the deadline passed without enough evidence");
        }
        // Stage 0 sends nothing, so nothing can be learnt in it.
        if self.stage == 0 && input.now >= self.plan.start {
            return self.raise(input.now);
        }
        Decision::Hold
    }

    fn may_raise(&self, now: f64) -> bool {
        let next = self.stage + 1;
        let due = schedule::earliest_start(next, self.plan.start, self.plan.deadline);
        self.stage > 0 && now >= self.since + DWELL && now >= due
    }

    fn raise(&mut self, now: f64) -> Decision {
        if self.stage >= schedule::LAST_STAGE {
            return Decision::End(Verdict::Completed, "all traffic moved and the version is good");
        }
        self.stage += 1;
        self.since = now;
        Decision::Advance(self.stage)
    }

    /// Whether the move is likely to miss its deadline.
    ///
    /// The stages left are assumed to take as long as the present one has
    /// taken, or as long as the schedule asks for, whichever is longer.
    pub fn is_late(&self, now: f64) -> bool {
        if now < self.plan.start {
            return false;
        }
        let left = f64::from(schedule::LAST_STAGE + 1 - self.stage.min(schedule::LAST_STAGE));
        let due = schedule::earliest_start(self.stage + 1, self.plan.start, self.plan.deadline);
        let overdue = (now - due.max(self.since + DWELL)).max(0.0);
        now + left * overdue.max(DWELL) > self.plan.deadline
    }
}
