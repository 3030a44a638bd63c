//! Streaming of answers from model engines, with resumption after failures.
//!
//! [`job`] parses a request, [`admit`] chooses an upstream or queues the request
//! until one has room, [`drive`] runs its attempts on engines, [`output`] encodes
//! the answer, and [`strike`] attributes crashes of engines to requests. [`engine`]
//! is the interface to an engine and [`http`] its implementation over HTTP.

pub mod admit;
pub mod drive;
pub mod engine;
pub mod http;
pub mod job;
pub mod output;
pub mod strike;
