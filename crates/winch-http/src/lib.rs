//! HTTP/1.1 connections with explicit framing and reuse.
//!
//! A relay has to know what common client libraries hide: whether a byte was
//! sent, whether a reply was framed or ended with its connection, and whether
//! bytes follow a complete reply. [`head`], [`target`] and [`body`] decode messages without
//! sockets; [`server`] and [`client`] read and write them on connections.

pub mod body;
pub mod client;
pub mod head;
pub mod server;
pub mod target;

/// Why received bytes are not an acceptable message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
pub enum Fault {
    /// The bytes are not HTTP/1.1.
    #[snafu(display("the message is malformed"))]
    Malformed,
    /// The head is longer than the limit.
    #[snafu(display("the head is longer than the limit"))]
    HeadTooLarge,
    /// The body is longer than the limit.
    #[snafu(display("the body is longer than the limit"))]
    BodyTooLarge,
    /// The server sends one reply after another, and none to the request.
    #[snafu(display("too many replies to other requests"))]
    TooManyReplies,
    /// The headers state the length of the body more than once, or in conflicting ways.
    #[snafu(display("the length of the body is ambiguous"))]
    Ambiguous,
}
