//! Event identifiers that let a caller resume at any daemon.
//!
//! A ticket names the request, the version and replica that served it, and the
//! offset and digest reached. It carries a keyed hash, so a daemon that has
//! never seen the request can trust it. Nothing is stored anywhere.

use std::fmt::Write;

use snafu::{OptionExt, Snafu, ensure};

use crate::digest::Digest;

const PREFIX: &str = "w1";
const MAC_BYTES: usize = 12;

/// Key shared by all daemons of a fleet.
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

/// What an event identifier says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cursor {
    /// The request's number, drawn at random when it was accepted.
    pub request: u64,
    /// Digest of the team and the request's body.
    pub body: u64,
    /// The version that serves the answer.
    pub version: String,
    /// The replica that served the last token.
    pub replica: String,
    /// Number of tokens accepted so far.
    pub offset: usize,
    /// Digest of the prompt and those tokens.
    pub digest: Digest,
}

/// Why an event identifier was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// It is not of this form.
    #[snafu(display("the event id is malformed"))]
    Malformed,
    /// Its keyed hash does not match.
    #[snafu(display("the event id was not issued by this fleet"))]
    Forged,
}

impl Cursor {
    /// The part that stays the same while one replica serves the request.
    pub fn stem(&self) -> String {
        let Self { request, body, version, replica, .. } = self;
        format!("{PREFIX}.{request:016x}.{body:016x}.{version}.{replica}")
    }

    /// Writes the event identifier for a stem, offset and digest to `out`.
    pub fn write(stem: &str, offset: usize, digest: Digest, key: &Key, out: &mut String) {
        let start = out.len();
        out.push_str(stem);
        let _ = write!(out, ".{offset}.{digest}.");
        let mac = mac(&out[start..], key);
        mac.iter().for_each(|byte| {
            let _ = write!(out, "{byte:02x}");
        });
    }

    /// The event identifier.
    pub fn encode(&self, key: &Key) -> String {
        let mut out = String::new();
        Self::write(&self.stem(), self.offset, self.digest, key, &mut out);
        out
    }

    /// Reads an event identifier back.
    ///
    /// # Errors
    /// An [`Error`] unless this fleet issued it.
    pub fn decode(text: &str, key: &Key) -> Result<Self, Error> {
        let signed = text.rfind('.').context(MalformedSnafu)? + 1;
        let expected: String = mac(&text[..signed], key).iter().fold(String::new(), |mut s, b| {
            let _ = write!(s, "{b:02x}");
            s
        });
        let fields: Vec<&str> = text.split('.').collect();
        let [PREFIX, request, body, version, replica, offset, digest, tag] = fields[..] else {
            return MalformedSnafu.fail();
        };
        ensure!(constant_time_eq(tag, &expected), ForgedSnafu);
        Ok(Self {
            request: hex(request)?,
            body: hex(body)?,
            version: version.to_owned(),
            replica: replica.to_owned(),
            offset: offset.parse().ok().context(MalformedSnafu)?,
            digest: Digest(hex(digest)?),
        })
    }
}

fn mac(text: &str, key: &Key) -> [u8; MAC_BYTES] {
    let hash = blake3::keyed_hash(&key.0, text.as_bytes());
    hash.as_bytes()[..MAC_BYTES].try_into().expect("a hash is longer than its tag")
}

fn constant_time_eq(a: &str, b: &str) -> bool {
    a.len() == b.len() && a.bytes().zip(b.bytes()).fold(0, |acc, (x, y)| acc | (x ^ y)) == 0
}

fn hex(text: &str) -> Result<u64, Error> {
    u64::from_str_radix(text, 16).ok().context(MalformedSnafu)
}
