//! The messages. Field numbers are never used again for another meaning.

use prost::{Message, Oneof};

/// One message and its sender.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// Name of the sending daemon.
    #[prost(string, tag = "1")]
    pub from: String,
    /// The sender's incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// What is said.
    #[prost(oneof = "Body", tags = "3, 4, 5, 6, 7, 8, 9, 10, 11")]
    pub body: Option<Body>,
}

/// What a message says.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// Asks for an [`Body::Ack`].
    #[prost(message, tag = "3")]
    Ping(Probe),
    /// Answers a [`Body::Ping`].
    #[prost(message, tag = "4")]
    Ack(Probe),
    /// Asks to probe another daemon on the sender's behalf.
    #[prost(message, tag = "5")]
    PingRequest(PingRequest),
    /// Facts that the receiver may lack.
    #[prost(message, tag = "6")]
    Push(Facts),
    /// What the sender holds; the receiver pushes what is newer.
    #[prost(message, tag = "7")]
    Sync(KeyVersions),
    /// Facts that the sender asks for.
    #[prost(message, tag = "8")]
    Want(KeyVersions),
    /// Asks for the revision in force.
    #[prost(message, tag = "9")]
    RevisionRequest(RevisionRequest),
    /// Answers an [`Body::RevisionRequest`].
    #[prost(message, tag = "10")]
    RevisionReport(RevisionReport),
    /// Evidence about a version on trial, for the holder of a move's lease.
    #[prost(message, tag = "11")]
    Evidence(Evidence),
}

/// A probe or its answer.
#[derive(Clone, PartialEq, Message)]
pub struct Probe {
    /// Pairs a probe with its answer.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// Digest of the facts that the sender holds.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    /// News about members.
    #[prost(message, repeated, tag = "3")]
    pub updates: Vec<MemberUpdate>,
}

/// News about one member.
#[derive(Clone, PartialEq, Message)]
pub struct MemberUpdate {
    /// The member's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its peer address, as text.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Its data centre.
    #[prost(string, tag = "3")]
    pub dc: String,
    /// Its incarnation.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// 0 alive, 1 suspect, 2 dead, 3 left.
    #[prost(uint32, tag = "5")]
    pub state: u32,
}

/// Asks the receiver to probe `target`.
#[derive(Clone, PartialEq, Message)]
pub struct PingRequest {
    /// Comes back in the relayed answer.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// Peer address of the daemon to probe, as text.
    #[prost(string, tag = "2")]
    pub target: String,
}

/// A statement that only ever rises in version.
#[derive(Clone, PartialEq, Message)]
pub struct Fact {
    /// What it is about.
    #[prost(string, tag = "1")]
    pub key: String,
    /// The higher version wins.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Its content; empty when it must be fetched over a stream.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: bytes::Bytes,
    /// Milliseconds that it stays of use; zero for ever.
    #[prost(uint64, tag = "4")]
    pub ttl_ms: u64,
    /// True if it is only pushed and never repaired.
    #[prost(bool, tag = "5")]
    pub ephemeral: bool,
    /// True if the body is too large for a datagram and was left out.
    #[prost(bool, tag = "6")]
    pub body_omitted: bool,
}

/// Several facts.
#[derive(Clone, PartialEq, Message)]
pub struct Facts {
    /// The facts.
    #[prost(message, repeated, tag = "1")]
    pub facts: Vec<Fact>,
}

/// Keys and versions of facts.
#[derive(Clone, PartialEq, Message)]
pub struct KeyVersions {
    /// Hash of each key.
    #[prost(fixed64, repeated, tag = "1")]
    pub keys: Vec<u64>,
    /// Version of each, in the same order.
    #[prost(uint64, repeated, tag = "2")]
    pub versions: Vec<u64>,
}

/// Asks for the revision in force.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct RevisionRequest {
    /// Comes back in the answer.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
}

/// The revision in force at the sender.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct RevisionReport {
    /// That of the question.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// The revision.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
}

/// Counts of one daemon about one move since the move began.
#[derive(Clone, PartialEq, Message)]
pub struct Evidence {
    /// The move's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The stage in which the counts were made.
    #[prost(uint32, tag = "2")]
    pub stage: u32,
    /// Counts of the new version.
    #[prost(message, optional, tag = "3")]
    pub new: Option<Tally>,
    /// Counts of the old version.
    #[prost(message, optional, tag = "4")]
    pub old: Option<Tally>,
}

/// Counts about one version.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Tally {
    /// Attempts that ended well.
    #[prost(uint64, tag = "1")]
    pub good: u64,
    /// Attempts that failed.
    #[prost(uint64, tag = "2")]
    pub failed: u64,
    /// Attempts whose first token came unusually late.
    #[prost(uint64, tag = "3")]
    pub slow: u64,
}
