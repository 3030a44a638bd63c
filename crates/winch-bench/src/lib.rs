//! Experiments that run the decision code of the daemons against simulated engines
//! and networks.
//!
//! Each experiment prints a table, which the command line also saves as CSV. Runs with
//! the same seed give the same table, except for CPU times and memory.

pub mod config;
pub mod fleet;
pub mod model;
pub mod moves;
pub mod replay;
pub mod resume;
pub mod route;
pub mod spread;
pub mod table;
