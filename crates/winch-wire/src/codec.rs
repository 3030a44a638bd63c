//! Encoding of frames for datagrams and streams.
//!
//! A frame is a version byte, the truncated keyed hash of the message and the
//! message in protobuf encoding. On a stream each frame is
//! preceded by its length.

use blake3::Hash;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use prost::Message;
use snafu::{ResultExt, Snafu, ensure};
use tokio_util::codec::{Decoder, Encoder};

use crate::message::Envelope;

/// Version of the frame format, the first byte of every frame.
pub const VERSION: u8 = 1;
const MAC_BYTES: usize = 16;
const HEADER_BYTES: usize = 1 + MAC_BYTES;
/// Size of the length that precedes a frame on a stream.
const LENGTH_BYTES: usize = 4;
/// Largest frame on a stream, without the length that precedes it.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Key that authenticates frames, shared by all daemons of a fleet.
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
        hash.as_bytes()[..MAC_BYTES].try_into().expect("a BLAKE3 hash is longer than the MAC")
    }
}

/// Why a frame was refused.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The frame is shorter than its header.
    #[snafu(display("frame is shorter than its header of {HEADER_BYTES} bytes"))]
    TooShort,
    /// The frame is longer than [`MAX_FRAME_BYTES`].
    #[snafu(display("frame is longer than {MAX_FRAME_BYTES} bytes"))]
    TooLong,
    /// The frame has a version other than [`VERSION`].
    #[snafu(display("frame has version {version}, expected {VERSION}"))]
    UnknownVersion {
        /// The version byte of the frame.
        version: u8,
    },
    /// The keyed hash does not match the message.
    #[snafu(display("MAC of the frame does not match its message"))]
    MacMismatch,
    /// The message cannot be decoded.
    #[snafu(display("message of the frame cannot be decoded"))]
    Malformed {
        /// The error of the decoder.
        source: prost::DecodeError,
    },
    /// The connection failed.
    #[snafu(display("connection to the peer failed"), context(false))]
    Io {
        /// The error of the operating system.
        source: std::io::Error,
    },
}

impl Error {
    /// Value of the `reason` label of the metric that counts refused frames.
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

/// Encodes `envelope` as one frame.
pub fn encode(envelope: &Envelope, key: &Key) -> Bytes {
    let mut frame = BytesMut::with_capacity(HEADER_BYTES + envelope.encoded_len());
    frame.put_u8(VERSION);
    frame.put_bytes(0, MAC_BYTES);
    envelope.encode(&mut frame).expect("BytesMut grows on demand");
    let mac = key.mac(&frame[HEADER_BYTES..]);
    frame[1..HEADER_BYTES].copy_from_slice(&mac);
    frame.freeze()
}

/// Checks and decodes one frame.
///
/// # Errors
/// If the frame is too short, has another version, is not authentic or its
/// message is malformed.
pub fn decode(mut frame: Bytes, key: &Key) -> Result<Envelope, Error> {
    ensure!(frame.len() >= HEADER_BYTES, TooShortSnafu);
    let version = frame.get_u8();
    ensure!(version == VERSION, UnknownVersionSnafu { version });
    let mac = frame.split_to(MAC_BYTES);
    let expected = key.mac(&frame);
    // Compares all bytes, so that the time does not depend on where they differ.
    let difference = mac.iter().zip(expected).fold(0, |acc, (a, b)| acc | (a ^ b));
    ensure!(difference == 0, MacMismatchSnafu);
    Envelope::decode(frame).context(MalformedSnafu)
}

/// Codec of a stream of frames, each preceded by its length as a big-endian `u32`.
#[derive(Clone, Debug)]
pub struct Codec(pub Key);

impl Encoder<Envelope> for Codec {
    type Error = Error;

    fn encode(&mut self, envelope: Envelope, out: &mut BytesMut) -> Result<(), Error> {
        let frame = encode(&envelope, &self.0);
        ensure!(frame.len() <= MAX_FRAME_BYTES, TooLongSnafu);
        out.put_u32(
            u32::try_from(frame.len()).expect("the length was checked against MAX_FRAME_BYTES"),
        );
        out.extend_from_slice(&frame);
        Ok(())
    }
}

impl Decoder for Codec {
    type Item = Envelope;
    type Error = Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Envelope>, Error> {
        let Some(prefix) = buffer.get(..LENGTH_BYTES) else {
            return Ok(None);
        };
        let length =
            u32::from_be_bytes(prefix.try_into().expect("the slice has LENGTH_BYTES bytes"))
                as usize;
        ensure!(length <= MAX_FRAME_BYTES, TooLongSnafu);
        if buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        buffer.advance(LENGTH_BYTES);
        decode(buffer.split_to(length).freeze(), &self.0).map(Some)
    }
}
