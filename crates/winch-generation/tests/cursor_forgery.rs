//! Event ids survive a round trip, and ids that this fleet did not issue are refused.

use assert_matches::assert_matches;
use proptest::prelude::*;
use winch_generation::{
    cursor::{Cursor, Error, Key},
    digest::Digest,
};

fn config() -> ProptestConfig {
    ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(6), ..Default::default() }
}

fn cursors() -> impl Strategy<Value = Cursor> {
    (
        any::<u64>(),
        any::<u64>(),
        "[a-z0-9-]{1,12}",
        "[a-z0-9-]{1,12}",
        0..100_000_usize,
        any::<u64>(),
    )
        .prop_map(|(request, body_digest, version, replica, offset, digest)| Cursor {
            request,
            body_digest,
            version,
            replica,
            offset,
            digest: Digest(digest),
        })
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn round_trip(cursor in cursors()) {
        let key = Key::derive(b"fleet");
        prop_assert_eq!(Cursor::decode(&cursor.encode(&key), &key), Ok(cursor));
    }

    #[test]
    fn changed_id_refused(cursor in cursors(), index in any::<prop::sample::Index>(), shift in 1..9_u8) {
        let key = Key::derive(b"fleet");
        let mut bytes = cursor.encode(&key).into_bytes();
        let index = index.index(bytes.len());
        bytes[index] = b'0' + (bytes[index].wrapping_add(shift) % 10);
        let text = String::from_utf8(bytes).unwrap();
        prop_assume!(text != cursor.encode(&key));
        prop_assert!(Cursor::decode(&text, &key).is_err());
    }

    #[test]
    fn never_panics(text in ".{0,120}") {
        let _ = Cursor::decode(&text, &Key::derive(b"fleet"));
    }
}

#[test]
fn foreign_key_refused() {
    let cursor = Cursor {
        request: 1,
        body_digest: 2,
        version: "v".into(),
        replica: "r".into(),
        offset: 3,
        digest: Digest(4),
    };
    let text = cursor.encode(&Key::derive(b"other fleet"));
    assert_matches!(Cursor::decode(&text, &Key::derive(b"fleet")), Err(Error::Forged));
}
