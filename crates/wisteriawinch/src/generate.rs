//! Answers of model engines, carried over the engines that fail under them.

pub mod admit;
pub mod drive;
pub mod engine;
pub mod http;
pub mod job;
pub mod output;
pub mod strike;
