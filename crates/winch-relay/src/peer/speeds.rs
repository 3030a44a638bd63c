//! Samples and speeds of replicas, as messages.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use bytes::{Buf, BufMut};
use prost::Message;
use winch_route::speed::Level;

use crate::speed::{Sample, ServiceSpeeds, Told};

/// Level on the wire of a replica that is typical. Gaps of a level this low do not occur.
const TYPICAL: u8 = 0;

/// A [`ServiceSpeeds`] on the wire.
#[derive(Clone, PartialEq, Message)]
struct EncodedService {
    /// See [`ServiceSpeeds::service`].
    #[prost(string, tag = "1")]
    service: String,
    /// See [`ServiceSpeeds::typical`].
    #[prost(uint32, tag = "2")]
    typical: u32,
    /// See [`ServiceSpeeds::gaps`]; encoded as samples are.
    #[prost(bytes = "vec", tag = "3")]
    gaps: Vec<u8>,
}

/// A [`Told`] on the wire.
#[derive(Clone, PartialEq, Message)]
pub(super) struct Speeds {
    /// See [`Told::is_complete`].
    #[prost(bool, tag = "1")]
    complete: bool,
    /// See [`Told::services`].
    #[prost(message, repeated, tag = "2")]
    services: Vec<EncodedService>,
}

impl From<Told> for Speeds {
    fn from(told: Told) -> Self {
        let services = told.services.into_iter().map(|speeds| EncodedService {
            service: speeds.service.to_string(),
            typical: speeds.typical.0.into(),
            gaps: encode(speeds.gaps.iter().map(|(address, level)| {
                (*address, level.map_or(TYPICAL, |level| level.0.max(TYPICAL + 1)))
            })),
        });
        Self { complete: told.is_complete, services: services.collect() }
    }
}

impl From<Speeds> for Told {
    fn from(speeds: Speeds) -> Self {
        let services = speeds.services.into_iter().map(|encoded| {
            let gaps = decode(&encoded.gaps).into_iter();
            let level = |level| (level != TYPICAL).then_some(Level(level));
            ServiceSpeeds {
                service: encoded.service.into(),
                typical: Level(u8::try_from(encoded.typical).unwrap_or(u8::MAX)),
                gaps: gaps.map(|(address, gap)| (address, level(gap))).collect(),
            }
        });
        Self { is_complete: speeds.complete, services: services.collect() }
    }
}

/// Encodes samples: 8 bytes for each of a replica with an IPv4 address.
pub(super) fn encode_samples(samples: &[Sample]) -> Vec<u8> {
    encode(samples.iter().map(|sample| (sample.address, sample.level.0)))
}

/// Decodes samples.
pub(super) fn decode_samples(bytes: &[u8]) -> Vec<Sample> {
    let decoded = decode(bytes).into_iter();
    decoded.map(|(address, level)| Sample { address, level: Level(level) }).collect()
}

/// Encodes each address as its length, its octets and its port, followed by the level.
fn encode(levels: impl Iterator<Item = (SocketAddr, u8)>) -> Vec<u8> {
    let mut out = Vec::new();
    for (address, level) in levels {
        match address.ip() {
            IpAddr::V4(ip) => {
                out.put_u8(4);
                out.put_slice(&ip.octets());
            }
            IpAddr::V6(ip) => {
                out.put_u8(16);
                out.put_slice(&ip.octets());
            }
        }
        out.put_u16(address.port());
        out.put_u8(level);
    }
    out
}

/// Decodes addresses with their levels, up to the first one that is incomplete or unreadable.
fn decode(mut bytes: &[u8]) -> Vec<(SocketAddr, u8)> {
    let mut decoded = Vec::new();
    while let Some(entry) = decode_next(&mut bytes) {
        decoded.push(entry);
    }
    decoded
}

fn decode_next(bytes: &mut &[u8]) -> Option<(SocketAddr, u8)> {
    let ip: IpAddr = match bytes.try_get_u8().ok()? {
        4 => Ipv4Addr::from_bits(bytes.try_get_u32().ok()?).into(),
        16 => Ipv6Addr::from_bits(bytes.try_get_u128().ok()?).into(),
        _ => return None,
    };
    let port = bytes.try_get_u16().ok()?;
    Some((SocketAddr::new(ip, port), bytes.try_get_u8().ok()?))
}
