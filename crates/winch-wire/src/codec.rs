//! Frames: a version byte, a keyed hash, a message.

use blake3::Hash;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use prost::Message;
use snafu::{ResultExt, Snafu, ensure};
use tokio_util::codec::{Decoder, Encoder};

use crate::message::Envelope;

/// First byte of every frame.
pub const VERSION: u8 = 1;
const MAC_BYTES: usize = 16;
const HEAD_BYTES: usize = 1 + MAC_BYTES;
const LENGTH_BYTES: usize = 4;
/// Largest frame on a stream.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

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
        Self(blake3::derive_key("wisteriawinch peer frame v1", secret))
    }

    fn mac(&self, message: &[u8]) -> [u8; MAC_BYTES] {
        let hash: Hash = blake3::keyed_hash(&self.0, message);
        hash.as_bytes()[..MAC_BYTES].try_into().expect("a hash is longer than its tag")
    }
}

/// Why a frame was refused.
#[derive(Debug, Snafu)]
pub enum Error {
    /// It is shorter than a frame can be.
    #[snafu(display("the frame is too short"))]
    TooShort,
    /// It is longer than a frame may be.
    #[snafu(display("the frame is too long"))]
    TooLong,
    /// Its version is not known.
    #[snafu(display("frame version {version} is not known"))]
    UnknownVersion {
        /// The version byte.
        version: u8,
    },
    /// Its keyed hash does not match.
    #[snafu(display("the frame is not authentic"))]
    MacMismatch,
    /// The message cannot be read.
    #[snafu(display("the message is malformed"))]
    Malformed {
        /// What the decoder saw.
        source: prost::DecodeError,
    },
    /// The connection failed.
    #[snafu(display("the connection failed"), context(false))]
    Io {
        /// What the system said.
        source: std::io::Error,
    },
}

impl Error {
    /// Label of the refusal counter.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::TooShort => "short",
            Self::TooLong => "long",
            Self::UnknownVersion { .. } => "version",
            Self::MacMismatch => "forged",
            Self::Malformed { .. } => "malformed",
            Self::Io { .. } => "io",
        }
    }
}

/// Encodes one frame.
pub fn encode(envelope: &Envelope, key: &Key) -> Bytes {
    let mut frame = BytesMut::with_capacity(HEAD_BYTES + envelope.encoded_len());
    frame.put_u8(VERSION);
    frame.put_bytes(0, MAC_BYTES);
    envelope.encode(&mut frame).expect("a buffer that grows has room");
    let mac = key.mac(&frame[HEAD_BYTES..]);
    frame[1..HEAD_BYTES].copy_from_slice(&mac);
    frame.freeze()
}

/// Decodes one frame.
///
/// # Errors
/// An [`Error`] with the reason of the refusal.
pub fn decode(mut frame: Bytes, key: &Key) -> Result<Envelope, Error> {
    ensure!(frame.len() >= HEAD_BYTES, TooShortSnafu);
    let version = frame.get_u8();
    ensure!(version == VERSION, UnknownVersionSnafu { version });
    let mac = frame.split_to(MAC_BYTES);
    let wanted = key.mac(&frame);
    let differs = mac.iter().zip(wanted).fold(0, |acc, (a, b)| acc | (a ^ b));
    ensure!(differs == 0, MacMismatchSnafu);
    Envelope::decode(frame).context(MalformedSnafu)
}

/// Frames on a stream, each behind its length.
#[derive(Clone, Debug)]
pub struct Codec(pub Key);

impl Encoder<Envelope> for Codec {
    type Error = Error;

    fn encode(&mut self, envelope: Envelope, out: &mut BytesMut) -> Result<(), Error> {
        let frame = encode(&envelope, &self.0);
        ensure!(frame.len() <= MAX_FRAME_BYTES, TooLongSnafu);
        out.put_u32(u32::try_from(frame.len()).expect("checked against the limit"));
        out.extend_from_slice(&frame);
        Ok(())
    }
}

impl Decoder for Codec {
    type Item = Envelope;
    type Error = Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Envelope>, Error> {
        let Some(head) = buffer.get(..LENGTH_BYTES) else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(head.try_into().expect("four bytes")) as usize;
        ensure!(length <= MAX_FRAME_BYTES, TooLongSnafu);
        if buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        buffer.advance(LENGTH_BYTES);
        decode(buffer.split_to(length).freeze(), &self.0).map(Some)
    }
}
