//! Moves of a route's traffic from one version to another.
//!
//! [`schedule`] says what share a stage carries, [`evidence`] tells a good
//! version from a bad one by what [`observer`] collects, and [`machine`] joins
//! both into the decisions of the daemon that holds the move's lease. A move ends in exactly one
//! [`verdict::Verdict`].

pub mod evidence;
pub mod machine;
pub mod observer;
pub mod schedule;
pub mod verdict;
