//! The configuration: named objects that reference one another, checked as a
//! whole, committed as numbered revisions and never reverted.
//!
//! The table holds a head row and one row per revision; the object store holds
//! a snapshot now and then. [`publish`](publish::publish) commits a change and
//! [`load`](load::load) brings a new daemon up to the head.

pub mod change;
pub mod check;
pub mod load;
pub mod object;
pub mod publish;
pub mod set;
