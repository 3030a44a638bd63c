//! Resume cursors: event ids that let a caller continue a stream at any daemon.
//!
//! A cursor holds the request, the version and replica that serve it, and the
//! offset and digest reached. A keyed hash (MAC) authenticates it, so that a
//! daemon that has never seen the request can trust it and no daemon stores cursors.

use std::fmt::Write;

use snafu::{OptionExt, Snafu, ensure};

use crate::digest::Digest;

/// First field of an event id; names its format and the version of the format.
const FORMAT: &str = "w1";
/// Length of the truncated keyed hash, in bytes; an event id ends with it in hexadecimal.
const MAC_BYTES: usize = 12;

/// Key for the keyed hash, shared by all daemons of a fleet.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(..)")
    }
}

impl Key {
    /// Derives the key from the fleet's secret.
    pub fn derive(secret: &[u8]) -> Self {
        Self(blake3::derive_key("wisteriawinch resume ticket v1", secret))
    }
}

/// The contents of an event id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cursor {
    /// The request's id, drawn at random when the request first arrived.
    pub request: u64,
    /// Digest of the request's team and body, which ties the cursor to both.
    pub body_digest: u64,
    /// The version that serves the answer.
    pub version: String,
    /// The replica that served the last token.
    pub replica: String,
    /// The number of tokens accepted so far.
    pub offset: usize,
    /// Digest of the prompt and those tokens.
    pub digest: Digest,
}

/// Why an event id was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The event id does not have the format of a cursor.
    #[snafu(display("the event id is malformed"))]
    Malformed,
    /// The keyed hash does not match.
    #[snafu(display("the event id was not issued by this fleet"))]
    Forged,
}

impl Cursor {
    /// Returns the leading part of the event id, without offset, digest and MAC. It
    /// stays the same while one replica serves the request.
    pub fn stem(&self) -> String {
        let Self { request, body_digest, version, replica, .. } = self;
        format!("{FORMAT}.{request:016x}.{body_digest:016x}.{version}.{replica}")
    }

    /// Appends to `out` the event id for `stem`, the result of [`Cursor::stem`], and for the
    /// offset and digest.
    pub fn write(stem: &str, offset: usize, digest: Digest, key: &Key, out: &mut String) {
        let start = out.len();
        out.push_str(stem);
        let _ = write!(out, ".{offset}.{digest}.");
        let mac = mac(&out[start..], key);
        mac.iter().for_each(|byte| {
            let _ = write!(out, "{byte:02x}");
        });
    }

    /// Returns the event id of this cursor.
    pub fn encode(&self, key: &Key) -> String {
        let mut out = String::new();
        Self::write(&self.stem(), self.offset, self.digest, key, &mut out);
        out
    }

    /// Parses and authenticates an event id.
    ///
    /// # Errors
    /// An [`Error`] unless this fleet issued the event id.
    pub fn decode(text: &str, key: &Key) -> Result<Self, Error> {
        let mac_start = text.rfind('.').context(MalformedSnafu)? + 1;
        let expected_mac: String =
            mac(&text[..mac_start], key).iter().fold(String::new(), |mut hex, byte| {
                let _ = write!(hex, "{byte:02x}");
                hex
            });
        let fields: Vec<&str> = text.split('.').collect();
        let [FORMAT, request, body_digest, version, replica, offset, digest, found_mac] =
            fields[..]
        else {
            return MalformedSnafu.fail();
        };
        ensure!(constant_time_eq(found_mac, &expected_mac), ForgedSnafu);
        Ok(Self {
            request: parse_hex(request)?,
            body_digest: parse_hex(body_digest)?,
            version: version.to_owned(),
            replica: replica.to_owned(),
            offset: offset.parse().ok().context(MalformedSnafu)?,
            digest: Digest(parse_hex(digest)?),
        })
    }
}

/// The truncated keyed hash of `text`.
fn mac(text: &str, key: &Key) -> [u8; MAC_BYTES] {
    let hash = blake3::keyed_hash(&key.0, text.as_bytes());
    hash.as_bytes()[..MAC_BYTES].try_into().expect("a hash is longer than a MAC")
}

fn constant_time_eq(a: &str, b: &str) -> bool {
    a.len() == b.len() && a.bytes().zip(b.bytes()).fold(0, |diff, (x, y)| diff | (x ^ y)) == 0
}

fn parse_hex(text: &str) -> Result<u64, Error> {
    u64::from_str_radix(text, 16).ok().context(MalformedSnafu)
}
