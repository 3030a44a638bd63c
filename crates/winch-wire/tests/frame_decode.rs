//! A frame decodes to the message that was encoded or is refused, for any input.

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
    fn arbitrary_bytes_refused(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(decode(Bytes::from(bytes.clone()), &key()).is_err());
        let _ = Codec(key()).decode(&mut BytesMut::from(&bytes[..]));
    }

    #[test]
    fn flipped_bit_refused(at in any::<prop::sample::Index>(), bit in 0..8_u8) {
        let mut frame = encode(&envelope(1), &key()).to_vec();
        let at = at.index(frame.len());
        frame[at] ^= 1 << bit;
        prop_assert!(decode(frame.into(), &key()).is_err());
    }

    #[test]
    fn chunked_stream_decodes(size in 1..60_usize) {
        let mut codec = Codec(key());
        let mut stream = BytesMut::new();
        codec.encode(envelope(1), &mut stream).unwrap();
        codec.encode(envelope(2), &mut stream).unwrap();
        let (mut buffer, mut decoded) = (BytesMut::new(), Vec::new());
        for chunk in stream.chunks(size) {
            buffer.extend_from_slice(chunk);
            while let Some(envelope) = codec.decode(&mut buffer).unwrap() {
                decoded.push(envelope);
            }
        }
        prop_assert_eq!(decoded, vec![envelope(1), envelope(2)]);
    }
}

#[test]
fn foreign_key_refused() {
    let frame = encode(&envelope(1), &Key::derive(b"other"));
    assert_matches!(decode(frame, &key()), Err(Error::MacMismatch));
}

#[test]
fn other_version_refused() {
    let mut frame = encode(&envelope(1), &key()).to_vec();
    frame[0] = VERSION + 1;
    assert_matches!(decode(frame.into(), &key()), Err(Error::UnknownVersion { version: 2 }));
}

#[test]
fn excessive_length_refused() {
    let mut buffer = BytesMut::from(&[0xff, 0xff, 0xff, 0xff, 0][..]);
    assert_matches!(Codec(key()).decode(&mut buffer), Err(Error::TooLong));
}

/// Envelope of a later release, with a field and a body that this release does not know.
#[derive(Clone, PartialEq, Message)]
struct LaterEnvelope {
    #[prost(string, tag = "1")]
    from: String,
    #[prost(string, tag = "90")]
    extra: String,
    #[prost(bytes = "vec", tag = "91")]
    unknown: Vec<u8>,
}

#[test]
fn unknown_fields_ignored() {
    let later = LaterEnvelope { from: "entry-9".into(), extra: "x".into(), unknown: vec![1, 2] };
    let decoded = Envelope::decode(&later.encode_to_vec()[..]).unwrap();
    assert_eq!((decoded.from.as_str(), decoded.body), ("entry-9", None));
}
