//! The configuration: named objects that reference one another, checked as a
//! whole and committed as consecutive revisions.
//!
//! The table holds a head row and one row per revision; the object store holds
//! periodic snapshots. [`publish`](publish::publish) checks and commits a
//! change, [`load`](load::load) reads the configuration up to the head. A
//! committed revision is never reverted; undoing a change takes a new revision.

pub mod change;
pub mod check;
pub mod difference;
pub mod lint;
pub mod load;
pub mod object;
pub mod publish;
pub mod set;
