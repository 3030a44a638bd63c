//! Protobuf messages between daemons. A field number is never used again for another meaning,
//! whether or not its field was removed.

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
    /// The content; `None` for a body of a later release.
    #[prost(oneof = "Body", tags = "3, 4, 5, 6, 7, 8, 9, 10, 11")]
    pub body: Option<Body>,
}

/// Content of a message.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// Probes the receiver, which replies with [`Body::Ack`].
    #[prost(message, tag = "3")]
    Ping(Probe),
    /// Reply to a [`Body::Ping`].
    #[prost(message, tag = "4")]
    Ack(Probe),
    /// Asks the receiver to probe another daemon on the sender's behalf.
    #[prost(message, tag = "5")]
    PingRequest(PingRequest),
    /// Facts that the receiver may lack.
    #[prost(message, tag = "6")]
    Push(Facts),
    /// Versions that the sender holds. The receiver pushes the facts that the sender lacks and
    /// requests those that it lacks itself.
    #[prost(message, tag = "7")]
    Sync(KeyVersions),
    /// Facts that the sender requests; their versions are not compared.
    #[prost(message, tag = "8")]
    Want(KeyVersions),
    /// Asks for the configuration revision in force at the receiver.
    #[prost(message, tag = "9")]
    RevisionRequest(RevisionRequest),
    /// Reply to a [`Body::RevisionRequest`].
    #[prost(message, tag = "10")]
    RevisionReport(RevisionReport),
    /// Evidence about a running version move, for the holder of its lease.
    #[prost(message, tag = "11")]
    Evidence(Evidence),
}

/// A probe or the reply to one.
#[derive(Clone, PartialEq, Message)]
pub struct Probe {
    /// Matches a reply to its probe.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// Digest of the facts that the sender holds.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    /// Membership updates, the sender's own entry first.
    #[prost(message, repeated, tag = "3")]
    pub updates: Vec<MemberUpdate>,
}

/// State of one member at an incarnation.
#[derive(Clone, PartialEq, Message)]
pub struct MemberUpdate {
    /// The member's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its peer address in text form, `IP:PORT`.
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
    /// Returned in the relayed reply.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// Peer address of the daemon to probe in text form, `IP:PORT`.
    #[prost(string, tag = "2")]
    pub target: String,
}

/// A versioned statement; a higher version replaces a lower one.
#[derive(Clone, PartialEq, Message)]
pub struct Fact {
    /// Key of the statement.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Version of the statement.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// The content; empty if [`Fact::body_omitted`] is set.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: bytes::Bytes,
    /// Remaining lifetime in milliseconds; zero if it never expires.
    #[prost(uint64, tag = "4")]
    pub ttl_ms: u64,
    /// Whether it is only pushed and not part of the repair by digests.
    #[prost(bool, tag = "5")]
    pub ephemeral: bool,
    /// Whether the body is too large for a datagram and must be fetched over a stream.
    #[prost(bool, tag = "6")]
    pub body_omitted: bool,
}

/// A list of facts.
#[derive(Clone, PartialEq, Message)]
pub struct Facts {
    /// The facts.
    #[prost(message, repeated, tag = "1")]
    pub facts: Vec<Fact>,
}

/// Keys of facts with one version each.
#[derive(Clone, PartialEq, Message)]
pub struct KeyVersions {
    /// Hash of each key.
    #[prost(fixed64, repeated, tag = "1")]
    pub keys: Vec<u64>,
    /// Version of each key, at the same index as in `keys`.
    #[prost(uint64, repeated, tag = "2")]
    pub versions: Vec<u64>,
}

/// Asks for the configuration revision in force.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct RevisionRequest {
    /// Returned in the report.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
}

/// The configuration revision in force at the sender.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct RevisionReport {
    /// The `seq` of the request.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// The revision.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
}

/// Counts of one daemon for the current stage of a version move.
#[derive(Clone, PartialEq, Message)]
pub struct Evidence {
    /// The move's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The stage to which the counts belong.
    #[prost(uint32, tag = "2")]
    pub stage: u32,
    /// Counts of the new version.
    #[prost(message, optional, tag = "3")]
    pub new: Option<Tally>,
    /// Counts of the old version.
    #[prost(message, optional, tag = "4")]
    pub old: Option<Tally>,
}

/// Counts for one version.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Tally {
    /// Successful attempts.
    #[prost(uint64, tag = "1")]
    pub good: u64,
    /// Attempts that failed. The crash of a replica counts as more than one.
    #[prost(uint64, tag = "2")]
    pub failed: u64,
    /// Attempts with an unusually late first token or unusually long gaps between tokens.
    #[prost(uint64, tag = "3")]
    pub slow: u64,
}
