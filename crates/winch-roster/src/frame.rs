//! Compact messages for [`Interest`] and [`Delta`].
//!
//! Names of services, data centres and versions are listed once in a message, and entries refer
//! to them by index, so that an entry takes some 40 bytes.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
};

use bytes::Bytes;
use prost::Message;
use snafu::{OptionExt, Snafu, ensure};

use crate::{Name, cursor, interest, replica::Replica};

/// Version of the messages, which a receiver has to know.
pub const FORMAT: u32 = 1;

/// Why a message cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The sender uses another version of the messages.
    #[snafu(display("701: the list has format {found}, expected {FORMAT}"))]
    Format {
        /// The sender's version.
        found: u32,
    },
    /// An entry refers to a name that the message does not list.
    #[snafu(display("702: entry `{id}` refers to name {index}, which is not listed"))]
    Name {
        /// Id of the entry.
        id: String,
        /// The index.
        index: u32,
    },
    /// An entry has no usable address.
    #[snafu(display("703: the address of entry `{id}` is invalid"))]
    Address {
        /// Id of the entry.
        id: String,
    },
}

impl Error {
    /// The numbers of all faults, as listed in `docs/codes.md`.
    pub const CODES: &'static [u16] = &[701, 702, 703];

    /// The number of the fault, with which its text begins.
    pub fn code(&self) -> u16 {
        match self {
            Self::Format { .. } => 701,
            Self::Name { .. } => 702,
            Self::Address { .. } => 703,
        }
    }
}

/// An [`interest::Interest`] on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct Interest {
    /// See [`interest::Interest::dc`].
    #[prost(string, tag = "1")]
    pub dc: String,
    /// See [`interest::Interest::position`].
    #[prost(fixed64, tag = "2")]
    pub position: u64,
    /// See [`interest::Interest::limit`].
    #[prost(uint32, optional, tag = "3")]
    pub limit: Option<u32>,
}

impl From<&interest::Interest> for Interest {
    fn from(interest: &interest::Interest) -> Self {
        Self {
            dc: interest.dc.to_string(),
            position: interest.position,
            limit: interest.limit.map(|limit| u32::try_from(limit).unwrap_or(u32::MAX)),
        }
    }
}

impl From<Interest> for interest::Interest {
    fn from(interest: Interest) -> Self {
        Self {
            dc: interest.dc.into(),
            position: interest.position,
            limit: interest.limit.map(|limit| usize::try_from(limit).unwrap_or(usize::MAX)),
        }
    }
}

/// A [`Replica`] on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct Entry {
    /// See [`Replica::id`].
    #[prost(string, tag = "1")]
    pub id: String,
    /// Index of the service's name.
    #[prost(uint32, tag = "2")]
    pub service: u32,
    /// The IP address: 4 or 16 bytes.
    #[prost(bytes = "bytes", tag = "3")]
    pub ip: Bytes,
    /// The port.
    #[prost(uint32, tag = "4")]
    pub port: u32,
    /// Index of the data centre's name.
    #[prost(uint32, tag = "5")]
    pub dc: u32,
    /// Index of the version.
    #[prost(uint32, tag = "6")]
    pub version: u32,
    /// See [`Replica::slots`].
    #[prost(uint32, tag = "7")]
    pub slots: u32,
    /// See [`Replica::draining`].
    #[prost(bool, tag = "8")]
    pub draining: bool,
    /// See [`Replica::started_at_ms`].
    #[prost(uint64, optional, tag = "9")]
    pub started_at_ms: Option<u64>,
    /// See [`cursor::Listed::is_held`].
    #[prost(bool, tag = "10")]
    pub held: bool,
}

/// A [`cursor::Delta`] on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct Delta {
    /// See [`FORMAT`].
    #[prost(uint32, tag = "1")]
    pub format: u32,
    /// The names to which `put` refers.
    #[prost(string, repeated, tag = "2")]
    pub names: Vec<String>,
    /// See [`cursor::Delta::put`].
    #[prost(message, repeated, tag = "3")]
    pub put: Vec<Entry>,
    /// See [`cursor::Delta::removed`].
    #[prost(string, repeated, tag = "4")]
    pub removed: Vec<String>,
    /// See [`cursor::Delta::complete`].
    #[prost(bool, tag = "5")]
    pub complete: bool,
    /// See [`cursor::Delta::whole`].
    #[prost(bool, tag = "6")]
    pub whole: bool,
}

/// Assigns indices to names in the order of their first use.
#[derive(Default)]
struct Names {
    indices: HashMap<Name, u32>,
    listed: Vec<String>,
}

impl Names {
    fn index(&mut self, name: &Name) -> u32 {
        let next = u32::try_from(self.listed.len()).unwrap_or(u32::MAX);
        *self.indices.entry(name.clone()).or_insert_with(|| {
            self.listed.push(name.to_string());
            next
        })
    }
}

fn encode_ip(ip: IpAddr) -> Bytes {
    match ip {
        IpAddr::V4(ip) => Bytes::copy_from_slice(&ip.octets()),
        IpAddr::V6(ip) => Bytes::copy_from_slice(&ip.octets()),
    }
}

fn decode_ip(bytes: &[u8]) -> Option<IpAddr> {
    if let Ok(octets) = <[u8; 4]>::try_from(bytes) {
        return Some(octets.into());
    }
    <[u8; 16]>::try_from(bytes).ok().map(IpAddr::from)
}

impl From<&cursor::Delta> for Delta {
    fn from(delta: &cursor::Delta) -> Self {
        let mut names = Names::default();
        let put = delta.put.iter().map(|cursor::Listed { replica, is_held }| Entry {
            id: replica.id.to_string(),
            service: names.index(&replica.service),
            ip: encode_ip(replica.address.ip()),
            port: replica.address.port().into(),
            dc: names.index(&replica.dc),
            version: names.index(&replica.version),
            slots: replica.slots,
            draining: replica.draining,
            started_at_ms: replica.started_at_ms,
            held: *is_held,
        });
        let put = put.collect();
        Self {
            format: FORMAT,
            names: names.listed,
            put,
            removed: delta.removed.iter().map(ToString::to_string).collect(),
            complete: delta.complete,
            whole: delta.whole,
        }
    }
}

impl Delta {
    /// Decodes the message.
    ///
    /// # Errors
    /// The first fault of the message; a message is used as a whole or not at all.
    pub fn decode_delta(self) -> Result<cursor::Delta, Error> {
        ensure!(self.format == FORMAT, FormatSnafu { found: self.format });
        let names: Vec<Name> = self.names.into_iter().map(Into::into).collect();
        let put = self.put.into_iter().map(|entry| decode_entry(entry, &names));
        Ok(cursor::Delta {
            complete: self.complete,
            whole: self.whole,
            put: put.collect::<Result<_, _>>()?,
            removed: self.removed.into_iter().map(Into::into).collect(),
        })
    }
}

fn decode_entry(entry: Entry, names: &[Name]) -> Result<cursor::Listed, Error> {
    let Entry { id, service, ip, port, dc, version, slots, draining, started_at_ms, held } = entry;
    let name = |index: u32| {
        let listed = usize::try_from(index).ok().and_then(|index| names.get(index)).cloned();
        listed.with_context(|| NameSnafu { id: id.clone(), index })
    };
    let address = decode_ip(&ip).zip(u16::try_from(port).ok());
    let address = address.with_context(|| AddressSnafu { id: id.clone() })?;
    let (service, dc, version) = (name(service)?, name(dc)?, name(version)?);
    let replica = Replica {
        id: id.into(),
        service,
        address: SocketAddr::from(address),
        dc,
        version,
        slots,
        draining,
        started_at_ms,
    };
    Ok(cursor::Listed { replica: replica.into(), is_held: held })
}
