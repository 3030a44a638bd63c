//! Messages between daemons and their framing.
//!
//! A frame is a version byte, a keyed hash and a protobuf message. Unknown
//! fields are ignored, so that adjacent releases are compatible. A frame that
//! is malformed or not authentic is refused with a [`codec::Error`].

pub mod codec;
pub mod message;
