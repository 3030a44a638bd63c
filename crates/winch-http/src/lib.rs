//! HTTP/1.1 connections whose framing and reuse the caller controls.
//!
//! Client libraries hide what a relay has to know: whether a byte was sent,
//! whether a reply was framed or ended with its connection, and whether bytes
//! follow a complete reply. [`head`] and [`body`] decode without sockets,
//! [`server`] and [`client`] carry them over TCP.

pub mod body;
pub mod client;
pub mod head;
pub mod server;

/// Bytes that do not form an acceptable message.
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
    /// The length of the body is stated in more than one way.
    #[snafu(display("the length of the body is ambiguous"))]
    Ambiguous,
}
