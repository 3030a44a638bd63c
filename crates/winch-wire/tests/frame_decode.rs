//! Frames: whole or refused, from any bytes.

use assert_matches::assert_matches;
use bytes::{Bytes, BytesMut};
use proptest::prelude::*;
use prost::Message;
use tokio_util::codec::{Decoder, Encoder};
use winch_wire::{
    codec::{Codec, Error, Key, VERSION, decode, encode},
    message::{Body, Envelope, MemberUpdate, Probe},
};

fn key() -> Key {
    Key::derive(b"fleet")
}

fn envelope(seq: u64) -> Envelope {
    let update = MemberUpdate {
        name: "entry-1".into(),
        address: "127.0.0.1:1".into(),
        dc: "wien-1".into(),
        incarnation: seq,
        state: 1,
    };
    let probe = Probe { seq, digest: 9, updates: vec![update] };
    Envelope { from: "entry-2".into(), incarnation: 3, body: Some(Body::Ping(probe)) }
}

fn config() -> ProptestConfig {
    ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(8), ..Default::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn round_trip(seq in any::<u64>()) {
        prop_assert_eq!(decode(encode(&envelope(seq), &key()), &key()).unwrap(), envelope(seq));
    }

    #[test]
    fn any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(decode(Bytes::from(bytes.clone()), &key()).is_err());
        let _ = Codec(key()).decode(&mut BytesMut::from(&bytes[..]));
    }

    #[test]
    fn flipped_bit(at in any::<prop::sample::Index>(), bit in 0..8_u8) {
        let mut frame = encode(&envelope(1), &key()).to_vec();
        let at = at.index(frame.len());
        frame[at] ^= 1 << bit;
        prop_assert!(decode(frame.into(), &key()).is_err());
    }

    #[test]
    fn stream_in_pieces(cut in 1..60_usize) {
        let mut codec = Codec(key());
        let mut whole = BytesMut::new();
        codec.encode(envelope(1), &mut whole).unwrap();
        codec.encode(envelope(2), &mut whole).unwrap();
        let (mut buffer, mut found) = (BytesMut::new(), Vec::new());
        for piece in whole.chunks(cut) {
            buffer.extend_from_slice(piece);
            while let Some(envelope) = codec.decode(&mut buffer).unwrap() {
                found.push(envelope);
            }
        }
        prop_assert_eq!(found, vec![envelope(1), envelope(2)]);
    }
}

#[test]
fn foreign_fleet() {
    let frame = encode(&envelope(1), &Key::derive(b"other"));
    assert_matches!(decode(frame, &key()), Err(Error::MacMismatch));
}

#[test]
fn other_version() {
    let mut frame = encode(&envelope(1), &key()).to_vec();
    frame[0] = VERSION + 1;
    assert_matches!(decode(frame.into(), &key()), Err(Error::UnknownVersion { version: 2 }));
}

#[test]
fn long_length() {
    let mut buffer = BytesMut::from(&[0xff, 0xff, 0xff, 0xff, 0][..]);
    assert_matches!(Codec(key()).decode(&mut buffer), Err(Error::TooLong));
}

/// A later release's envelope: one more field and a body this release does not know.
#[derive(Clone, PartialEq, Message)]
struct Later {
    #[prost(string, tag = "1")]
    from: String,
    #[prost(string, tag = "90")]
    extra: String,
    #[prost(bytes = "vec", tag = "91")]
    unknown: Vec<u8>,
}

#[test]
fn unknown_fields() {
    let later = Later { from: "entry-9".into(), extra: "x".into(), unknown: vec![1, 2] };
    let read = Envelope::decode(&later.encode_to_vec()[..]).unwrap();
    assert_eq!((read.from.as_str(), read.body), ("entry-9", None));
}
