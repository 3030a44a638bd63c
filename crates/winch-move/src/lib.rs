//! Moves the traffic of a route from one version to another in stages.
//!
//! [`schedule`] defines the share of traffic of each stage, [`observer`]
//! collects the outcomes of attempts, [`evidence`] tests whether the new version
//! is worse than the old one, [`batch`] keeps one stall from looking like
//! many slow attempts, and [`machine`] uses the schedule and the test to
//! decide the next step on the daemon that holds the move's lease. A move ends
//! with exactly one [`verdict::Verdict`].
//!
//! Nothing here reads a clock or does I/O: times are passed in.

pub mod batch;
pub mod evidence;
pub mod machine;
pub mod observer;
pub mod schedule;
pub mod verdict;
