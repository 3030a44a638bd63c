//! Moves the traffic of a route from one version to another in stages.
//!
//! [`schedule`] defines the share of traffic of each stage, [`observer`]
//! collects the outcomes of attempts, [`evidence`] tests whether the new version
//! is worse than the old one, and [`machine`] turns both into the decisions of
//! the daemon that holds the move's lease. A move ends with exactly one
//! [`verdict::Verdict`].

pub mod evidence;
pub mod machine;
pub mod observer;
pub mod schedule;
pub mod verdict;
