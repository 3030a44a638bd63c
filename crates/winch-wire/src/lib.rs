//! Messages between daemons and how they are framed.
//!
//! A frame is a version byte, a keyed hash and a protobuf message. Fields that
//! a daemon does not know are ignored, so that neighbouring releases can talk;
//! a frame that is malformed or not authentic is refused with its reason.

pub mod codec;
pub mod message;
