//! Messages between daemons on the users' platform, and their conversions.
//!
//! See [`peer`](super) for the exchange of these messages.

use std::{net::SocketAddr, num::NonZeroU32};

use bytes::Bytes;
use prost::Message;
use winch_roster::{
    cursor::{Delta, Listed},
    frame,
    position::Position,
};

use super::{
    notice::{ClearedPart, CompletedRequest, CrashStrike, Notices, RetractedCrash},
    progress::{MoveCounts, MoveProgress},
    speeds::Speeds,
};
use crate::{
    catalog::Drain,
    edition::Edition,
    job::Sends,
    prelude::*,
    store::{Change, Listing},
};

/// The first message on a connection.
#[derive(Clone, PartialEq, Message)]
pub(super) struct Request {
    /// Whether the receiver sends updates until the connection ends, and not only one.
    #[prost(bool, tag = "1")]
    pub follow: bool,
    /// Version of the store up to which the sender has the whole list of replicas; zero if it
    /// has not. Only receivers of before the compact list use it.
    #[prost(uint64, tag = "2")]
    pub list_version: u64,
    /// Strikes for the receiver. If there are any, it sends no update.
    #[prost(message, repeated, tag = "3")]
    pub strikes: Vec<CrashStrike>,
    /// The part of the list that the sender needs. Without it the receiver sends the whole list
    /// in the form of before the compact list.
    #[prost(message, optional, tag = "4")]
    pub interest: Option<frame::Interest>,
    /// Parts of prompts whose strikes are removed, as for `strikes`.
    #[prost(message, repeated, tag = "5")]
    pub cleared: Vec<ClearedPart>,
    /// Address of the sender for other daemons.
    #[prost(string, tag = "6")]
    pub address: String,
    /// Set if a caller's request follows on the connection, as HTTP/1.1, and its reply is to follow
    /// in place of updates.
    #[prost(message, optional, tag = "7")]
    pub forwarding: Option<Forwarding>,
    /// Crashes that are retracted; `strikes` then holds their strikes, since earlier releases send
    /// an update in reply to a request without strikes.
    #[prost(message, repeated, tag = "8")]
    pub retracted: Vec<RetractedCrash>,
    /// Requests with strikes that ran to their ends, as for `strikes`. Earlier releases skip them and
    /// send an update.
    #[prost(message, repeated, tag = "9")]
    pub completed: Vec<CompletedRequest>,
}

impl Request {
    /// Takes what the request tells about crashes.
    pub(super) fn take_notices(&mut self) -> Notices {
        let Self { strikes, cleared, retracted, completed, .. } = self;
        Notices::take(strikes, cleared, retracted, completed)
    }
}

/// What a daemon tells of a request that it passes on.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(super) struct Forwarding {
    /// Number of times that the request was sent.
    #[prost(uint32, tag = "1")]
    pub sends: u32,
    /// Number of sends, with these, after which the receiver sends the request no more; zero if only
    /// the route's limit holds.
    #[prost(uint32, tag = "2")]
    pub max_sends: u32,
}

impl Forwarding {
    /// What the message tells of the sends.
    pub(super) fn decode(self) -> Sends {
        Sends { made: self.sends, max: NonZeroU32::new(self.max_sends) }
    }
}

/// Daemons to which requests may be passed on.
#[derive(Clone, PartialEq, Eq, Message)]
pub(super) struct Relays {
    /// Their addresses for other daemons.
    #[prost(string, repeated, tag = "1")]
    pub addresses: Vec<String>,
}

impl From<&[SocketAddr]> for Relays {
    fn from(addresses: &[SocketAddr]) -> Self {
        Self { addresses: addresses.iter().map(ToString::to_string).collect() }
    }
}

impl Relays {
    /// Decodes the addresses; unusable ones are left out.
    pub(super) fn decode(&self) -> Vec<SocketAddr> {
        self.addresses.iter().filter_map(|address| address.parse().ok()).collect()
    }
}

/// The state of a daemon, or its changes since the last update.
#[derive(Clone, PartialEq, Message)]
pub(super) struct Update {
    /// Version of the configuration in force; zero if there is none.
    #[prost(uint64, tag = "1")]
    pub config_version: u64,
    /// The configuration as it was published, if it is new and small enough.
    #[prost(bytes = "bytes", tag = "2")]
    pub config: Bytes,
    /// New and changed replicas, for a receiver that stated no interest; see `list`.
    #[prost(message, repeated, tag = "3")]
    pub replicas: Vec<ListedReplica>,
    /// Ids of removed replicas.
    #[prost(string, repeated, tag = "4")]
    pub removed: Vec<String>,
    /// Time since the store last confirmed the state, in milliseconds.
    #[prost(uint64, optional, tag = "5")]
    pub age_ms: Option<u64>,
    /// Version of the store up to which the receiver has its part of the list after the update,
    /// unless `behind` is set.
    #[prost(uint64, tag = "6")]
    pub list_version: u64,
    /// Whether `replicas` is the complete list, so that all others are removed.
    #[prost(bool, tag = "7")]
    pub whole: bool,
    /// Whether the follower has to read the complete list before changes can be sent. Only
    /// daemons of before the compact list set it.
    #[prost(bool, tag = "8")]
    pub behind: bool,
    /// All version moves known to the sender.
    #[prost(message, repeated, tag = "9")]
    pub moving: Vec<MoveProgress>,
    /// Strikes that were not sent before on the connection.
    #[prost(message, repeated, tag = "10")]
    pub strikes: Vec<CrashStrike>,
    /// Changes of the receiver's part of the list, if it stated an interest.
    #[prost(message, optional, tag = "11")]
    pub list: Option<frame::Delta>,
    /// Whether the sender reads the store itself, and does not follow another daemon.
    #[prost(bool, tag = "12")]
    pub reads_store: bool,
    /// Parts of prompts that were cleared since the last update on the connection. They are
    /// applied before `strikes`.
    #[prost(message, repeated, tag = "13")]
    pub cleared: Vec<ClearedPart>,
    /// Number of daemons in the fleet; zero if the sender does not know it.
    #[prost(uint32, tag = "14")]
    pub daemons: u32,
    /// Services whose size has changed since the last update on the connection.
    #[prost(message, repeated, tag = "15")]
    pub services: Vec<ServiceSize>,
    /// Era of the store in which `list_version` was read; unset by earlier releases.
    #[prost(uint64, optional, tag = "16")]
    pub list_era: Option<u64>,
    /// See [`Edition::era`].
    #[prost(uint64, tag = "17")]
    pub config_era: u64,
    /// See [`Edition::digest`].
    #[prost(fixed64, tag = "18")]
    pub config_digest: u64,
    /// Daemons to which the receiver may pass requests on, if they have changed since the last
    /// update on the connection.
    #[prost(message, optional, tag = "19")]
    pub relays: Option<Relays>,
    /// Speeds of the receiver's replicas, if they have changed since the last update on the
    /// connection.
    #[prost(message, optional, tag = "20")]
    pub speeds: Option<Speeds>,
    /// Whether the sender knows what was refused before its start; unset by earlier releases, which
    /// do not wait for it.
    #[prost(bool, optional, tag = "21")]
    pub strikes_synced: Option<bool>,
    /// Crashes that were retracted since the last update on the connection.
    #[prost(message, repeated, tag = "22")]
    pub retracted: Vec<RetractedCrash>,
    /// Time for which the sender has known the list without a gap in which entries of live replicas
    /// can have expired, in milliseconds; unset by earlier releases, and if that is not known.
    #[prost(uint64, optional, tag = "23")]
    pub steady_ms: Option<u64>,
    /// Requests with strikes that ran to their ends since the last update on the connection; skipped
    /// by earlier releases.
    #[prost(message, repeated, tag = "24")]
    pub completed: Vec<CompletedRequest>,
    /// Addresses of the daemons that read the store for others because no seed does; skipped by earlier
    /// releases.
    #[prost(string, repeated, tag = "25")]
    pub readers: Vec<String>,
}

/// The number of replicas of a service.
#[derive(Clone, PartialEq, Eq, Message)]
pub(super) struct ServiceSize {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Number of replicas in the whole list.
    #[prost(uint32, tag = "2")]
    pub replicas: u32,
}

impl From<(&Name, usize)> for ServiceSize {
    fn from((service, replicas): (&Name, usize)) -> Self {
        let replicas = u32::try_from(replicas).unwrap_or(u32::MAX);
        Self { service: service.to_string(), replicas }
    }
}

impl Update {
    /// Takes what the update tells about crashes.
    pub(super) fn take_notices(&mut self) -> Notices {
        let Self { strikes, cleared, retracted, completed, .. } = self;
        Notices::take(strikes, cleared, retracted, completed)
    }

    /// Position of the store up to which the receiver has its part of the list after the update.
    /// An earlier release does not state the era, which is then assumed to be `era`.
    pub(super) fn list_position(&self, era: u64) -> Position {
        Position { era: self.list_era.unwrap_or(era), version: self.list_version }
    }

    /// Edition of the configuration in force.
    pub(super) fn edition(&self) -> Edition {
        let (era, digest) = (self.config_era, self.config_digest);
        Edition { version: self.config_version, era, digest }
    }

    /// Adds changes of the list in the form of before the compact list.
    pub(super) fn put_uncompacted(&mut self, delta: &Delta) {
        self.replicas =
            delta.put.iter().map(|listed| ListedReplica::from(&*listed.replica)).collect();
        self.removed = delta.removed.iter().map(ToString::to_string).collect();
        self.whole = delta.complete;
    }

    /// Takes the changes of the list out of the update, and whether the receiver has the whole
    /// list after them. `era` is as for [`Self::list_position()`].
    ///
    /// # Errors
    /// Why the compact list cannot be decoded.
    pub(super) fn take_listing(&mut self, era: u64) -> Result<(Listing, bool), frame::Error> {
        let position = self.list_position(era);
        let Some(list) = self.list.take() else {
            let put = std::mem::take(&mut self.replicas).into_iter();
            let removed = std::mem::take(&mut self.removed).into_iter();
            let removed = removed.map(|id| Change::Removed(id.into()));
            let changes = put.map(ListedReplica::into_change).chain(removed).collect();
            return Ok((Listing { changes, position, is_complete: self.whole }, true));
        };
        let delta = list.decode_delta()?;
        let put = delta.put.into_iter().map(|Listed { replica, is_held }| {
            let replica = Arc::unwrap_or_clone(replica);
            if is_held { Change::Held(replica) } else { Change::Put(replica) }
        });
        let changes = put.chain(delta.removed.into_iter().map(Change::Removed)).collect();
        Ok((Listing { changes, position, is_complete: delta.complete }, delta.whole))
    }
}

/// A listed replica in an [`Update`].
#[derive(Clone, PartialEq, Message)]
pub(super) struct ListedReplica {
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
    /// See [`Replica::started_at_ms`].
    #[prost(uint64, optional, tag = "8")]
    pub started_at_ms: Option<u64>,
}

impl From<&Replica> for ListedReplica {
    fn from(replica: &Replica) -> Self {
        Self {
            id: replica.id.to_string(),
            service: replica.service.to_string(),
            address: replica.address.to_string(),
            dc: replica.dc.to_string(),
            version: replica.version.to_string(),
            slots: replica.slots,
            draining: replica.draining,
            started_at_ms: replica.started_at_ms,
        }
    }
}

impl ListedReplica {
    /// Converts the entry into a change of the list.
    pub(super) fn into_change(self) -> Change {
        let id: Name = self.id.into();
        let Ok(address) = self.address.parse() else {
            return Change::Unreadable {
                id,
                fault: format!("address must be IP:PORT, got `{}`", self.address),
            };
        };
        Change::Put(Replica {
            id,
            service: self.service.into(),
            address,
            dc: self.dc.into(),
            version: self.version.into(),
            slots: self.slots,
            draining: self.draining,
            started_at_ms: self.started_at_ms,
        })
    }
}

/// The counts and samples of a follower.
#[derive(Clone, PartialEq, Message)]
pub(super) struct Report {
    /// Name of the follower.
    #[prost(string, tag = "1")]
    pub daemon: String,
    /// Its counts for each open move.
    #[prost(message, repeated, tag = "2")]
    pub counted: Vec<MoveCounts>,
    /// Number of daemons that follow this follower.
    #[prost(uint32, tag = "3")]
    pub followers: u32,
    /// Samples of the speed of replicas, its own and those of its followers.
    #[prost(bytes = "vec", tag = "4")]
    pub samples: Vec<u8>,
    /// Speeds that the receiver did not tell although the sender knew them before.
    #[prost(message, optional, tag = "5")]
    pub speeds: Option<Speeds>,
    /// Announced drains of which the receiver's list does not know yet. Earlier releases skip them.
    #[prost(message, repeated, tag = "6")]
    pub drains: Vec<AnnouncedDrain>,
}

/// A [`Drain`] on the wire.
#[derive(Clone, PartialEq, Eq, Message)]
pub(super) struct AnnouncedDrain {
    /// See [`Drain::id`].
    #[prost(string, tag = "1")]
    pub id: String,
    /// See [`Drain::started_at_ms`].
    #[prost(uint64, optional, tag = "2")]
    pub started_at_ms: Option<u64>,
}

impl From<Drain> for AnnouncedDrain {
    fn from(drain: Drain) -> Self {
        Self { id: drain.id.to_string(), started_at_ms: drain.started_at_ms }
    }
}

impl From<AnnouncedDrain> for Drain {
    fn from(drain: AnnouncedDrain) -> Self {
        Self { id: drain.id.into(), started_at_ms: drain.started_at_ms }
    }
}
