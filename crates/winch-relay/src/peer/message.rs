//! Messages between daemons on the users' platform.

use bytes::Bytes;
use prost::Message;
use winch_move::{evidence, verdict::Verdict};
use winch_route::suspect::{Crash, Fingerprint};
use winch_wire::message::Tally;

use crate::{
    moves::{Counts, Evidence, Order, Progress},
    prelude::*,
    store::Change,
    strikes::Strike,
};

/// What a daemon asks another.
#[derive(Clone, PartialEq, Message)]
pub(super) struct Question {
    /// Whether updates shall follow until the connection ends.
    #[prost(bool, tag = "1")]
    pub follow: bool,
    /// Version up to which the asking daemon knows the list of replicas.
    #[prost(uint64, tag = "2")]
    pub list_version: u64,
    /// Strikes that the asked daemon shall learn; then nothing is answered.
    #[prost(message, repeated, tag = "3")]
    pub strikes: Vec<Blame>,
}

/// What one daemon knows, or what has changed of it.
#[derive(Clone, PartialEq, Message)]
pub(super) struct Update {
    /// Version of the configuration.
    #[prost(uint64, tag = "1")]
    pub plan_version: u64,
    /// The configuration as it was published, if it is new and short.
    #[prost(bytes = "bytes", tag = "2")]
    pub plan: Bytes,
    /// Replicas that are new or have changed.
    #[prost(message, repeated, tag = "3")]
    pub replicas: Vec<Listed>,
    /// Identities of replicas that are gone.
    #[prost(string, repeated, tag = "4")]
    pub removed: Vec<String>,
    /// Time since the store last confirmed the knowledge, in milliseconds.
    #[prost(uint64, optional, tag = "5")]
    pub age_ms: Option<u64>,
    /// Version up to which the list of replicas is told.
    #[prost(uint64, tag = "6")]
    pub list_version: u64,
    /// Whether all replicas are told, so that others are gone.
    #[prost(bool, tag = "7")]
    pub whole: bool,
    /// Whether the follower has to read the list again before changes can be told.
    #[prost(bool, tag = "8")]
    pub behind: bool,
    /// Version moves that the seed knows.
    #[prost(message, repeated, tag = "9")]
    pub moving: Vec<Moving>,
    /// Strikes that are new to the follower.
    #[prost(message, repeated, tag = "10")]
    pub strikes: Vec<Blame>,
}

/// A [`Strike`].
#[derive(Clone, Copy, PartialEq, Message)]
pub(super) struct Blame {
    /// See [`Strike::request`].
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// See [`Strike::death`].
    #[prost(fixed64, tag = "2")]
    pub death: u64,
}

impl From<Strike> for Blame {
    fn from(strike: Strike) -> Self {
        Self { request: strike.request.0, death: strike.death.0 }
    }
}

impl From<Blame> for Strike {
    fn from(blame: Blame) -> Self {
        Self { request: Fingerprint(blame.request), death: Crash(blame.death) }
    }
}

/// One replica of an [`Update`].
#[derive(Clone, PartialEq, Message)]
pub(super) struct Listed {
    /// See [`Replica::id`].
    #[prost(string, tag = "1")]
    pub id: String,
    /// See [`Replica::service`].
    #[prost(string, tag = "2")]
    pub service: String,
    /// See [`Replica::address`].
    #[prost(string, tag = "3")]
    pub address: String,
    /// See [`Replica::dc`].
    #[prost(string, tag = "4")]
    pub dc: String,
    /// See [`Replica::version`].
    #[prost(string, tag = "5")]
    pub version: String,
    /// See [`Replica::slots`].
    #[prost(uint32, tag = "6")]
    pub slots: u32,
    /// See [`Replica::draining`].
    #[prost(bool, tag = "7")]
    pub draining: bool,
    /// See [`Replica::born_ms`].
    #[prost(uint64, optional, tag = "8")]
    pub born_ms: Option<u64>,
}

impl From<&Replica> for Listed {
    fn from(replica: &Replica) -> Self {
        Self {
            id: replica.id.to_string(),
            service: replica.service.to_string(),
            address: replica.address.to_string(),
            dc: replica.dc.to_string(),
            version: replica.version.to_string(),
            slots: replica.slots,
            draining: replica.draining,
            born_ms: replica.born_ms,
        }
    }
}

impl Listed {
    /// The change that it tells.
    pub(super) fn change(self) -> Change {
        let id: Name = self.id.into();
        let Ok(address) = self.address.parse() else {
            return Change::Unreadable { id, fault: format!("address `{}`", self.address) };
        };
        Change::Put(Replica {
            id,
            service: self.service.into(),
            address,
            dc: self.dc.into(),
            version: self.version.into(),
            slots: self.slots,
            draining: self.draining,
            born_ms: self.born_ms,
        })
    }
}

/// How far a version move has come.
#[derive(Clone, PartialEq, Message)]
pub(super) struct Moving {
    /// See [`Order::service`].
    #[prost(string, tag = "1")]
    pub service: String,
    /// See [`Order::to`].
    #[prost(string, tag = "2")]
    pub to: String,
    /// See [`Order::within`], in milliseconds.
    #[prost(uint64, tag = "3")]
    pub within_ms: u64,
    /// See [`Order::revision`].
    #[prost(uint64, tag = "4")]
    pub revision: u64,
    /// See [`Progress::stage`].
    #[prost(uint32, tag = "5")]
    pub stage: u32,
    /// Time since the stage was confirmed, in milliseconds, if it was.
    #[prost(uint64, optional, tag = "6")]
    pub age_ms: Option<u64>,
    /// See [`Progress::fault`].
    #[prost(bool, tag = "7")]
    pub fault: bool,
    /// The verdict: 1 completed, 2 taken back, 3 expired, 4 cancelled; 0 for none.
    #[prost(uint32, tag = "8")]
    pub verdict: u32,
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl Moving {
    /// Encodes what is known at `now`.
    pub(super) fn encode_at(progress: &Progress, now: Instant) -> Self {
        let Progress { order, stage, heard, fault, verdict } = progress;
        Self {
            service: order.service.to_string(),
            to: order.to.to_string(),
            within_ms: millis(order.within),
            revision: order.revision,
            stage: *stage,
            age_ms: heard.map(|at| millis(now.saturating_duration_since(at))),
            fault: *fault,
            verdict: match verdict {
                None => 0,
                Some(Verdict::Completed) => 1,
                Some(Verdict::TakenBack) => 2,
                Some(Verdict::Expired) => 3,
                Some(Verdict::Cancelled) => 4,
            },
        }
    }

    /// Decodes what a peer knew at `now`.
    pub(super) fn progress(self, now: Instant) -> Progress {
        let order = Order {
            service: self.service.into(),
            to: self.to.into(),
            within: Duration::from_millis(self.within_ms),
            revision: self.revision,
        };
        Progress {
            order,
            stage: self.stage,
            heard: self.age_ms.and_then(|age| now.checked_sub(Duration::from_millis(age))),
            fault: self.fault,
            verdict: match self.verdict {
                1 => Some(Verdict::Completed),
                2 => Some(Verdict::TakenBack),
                3 => Some(Verdict::Expired),
                4 => Some(Verdict::Cancelled),
                _ => None,
            },
        }
    }
}

/// What a follower has counted of the services that are being moved.
#[derive(Clone, PartialEq, Message)]
pub(super) struct Report {
    /// Name of the daemon.
    #[prost(string, tag = "1")]
    pub daemon: String,
    /// Its counts.
    #[prost(message, repeated, tag = "2")]
    pub counted: Vec<Counted>,
}

/// Counts of one move.
#[derive(Clone, PartialEq, Message)]
pub(super) struct Counted {
    /// See [`Evidence::service`].
    #[prost(string, tag = "1")]
    pub service: String,
    /// See [`Evidence::revision`].
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// See [`Evidence::stage`].
    #[prost(uint32, tag = "3")]
    pub stage: u32,
    /// Counts of the new version.
    #[prost(message, optional, tag = "4")]
    pub new: Option<Tally>,
    /// Counts of the old version.
    #[prost(message, optional, tag = "5")]
    pub old: Option<Tally>,
}

fn wire(tally: evidence::Tally) -> Tally {
    Tally { good: tally.good, failed: tally.failed, slow: tally.slow }
}

fn counts(tally: Option<Tally>) -> evidence::Tally {
    let tally = tally.unwrap_or_default();
    evidence::Tally { good: tally.good, failed: tally.failed, slow: tally.slow }
}

impl From<Evidence> for Counted {
    fn from(evidence: Evidence) -> Self {
        Self {
            service: evidence.service.to_string(),
            revision: evidence.revision,
            stage: evidence.stage,
            new: Some(wire(evidence.counts.new)),
            old: Some(wire(evidence.counts.old)),
        }
    }
}

impl From<Counted> for Evidence {
    fn from(counted: Counted) -> Self {
        Self {
            service: counted.service.into(),
            revision: counted.revision,
            stage: counted.stage,
            counts: Counts { new: counts(counted.new), old: counts(counted.old) },
        }
    }
}
