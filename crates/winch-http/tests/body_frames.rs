//! Bodies are decoded regardless of how the input is split, and ambiguous or malformed
//! framing is rejected.

use assert_matches::assert_matches;
use bytes::BytesMut;
use http::Method;
use proptest::prelude::*;
use winch_http::{
    Fault,
    body::{Decoder, Framing, Step},
    head::{self, Request},
};

fn request(head: &str) -> Request {
    let mut input = BytesMut::from(format!("POST /a HTTP/1.1\r\n{head}\r\n\r\n").as_str());
    head::take_request(&mut input, 10_000).unwrap().unwrap()
}

/// Reference implementation: joins the known chunks.
fn joined(chunks: &[Vec<u8>]) -> Vec<u8> {
    chunks.concat()
}

fn encode(chunks: &[Vec<u8>]) -> Vec<u8> {
    let mut out = Vec::new();
    for chunk in chunks {
        out.extend_from_slice(format!("{:X};x=1\r\n", chunk.len()).as_bytes());
        out.extend_from_slice(chunk);
        out.extend_from_slice(b"\r\n");
    }
    out.extend_from_slice(b"0\r\nTrailer: 1\r\n\r\nrest");
    out
}

proptest! {
    #[test]
    fn chunks_split_anywhere(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..40), 0..6),
        split in 1_usize..30,
    ) {
        let mut decoder = Decoder::new(Framing::Chunked);
        let (mut input, mut body) = (BytesMut::new(), Vec::new());
        for part in encode(&chunks).chunks(split) {
            input.extend_from_slice(part);
            while let Step::Data(data) = decoder.step(&mut input).unwrap() {
                body.extend_from_slice(&data);
            }
        }
        prop_assert!(decoder.is_done());
        prop_assert_eq!(body, joined(&chunks));
        prop_assert_eq!(&input[..], b"rest");
    }

    /// No input makes a parser or the decoder panic.
    #[test]
    fn arbitrary_input(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut input = BytesMut::from(&bytes[..]);
        let _ = head::take_request(&mut input, 100);
        let _ = head::take_reply(&mut input, 100);
        let mut decoder = Decoder::new(Framing::Chunked);
        for _ in 0..300 {
            match decoder.step(&mut input) {
                Ok(Step::Data(_)) => {}
                _ => break,
            }
        }
    }
}

#[test]
fn ambiguous_length_rejected() {
    let both = request("Content-Length: 3\r\nTransfer-Encoding: chunked");
    assert_matches!(Framing::of_request(&both), Err(Fault::Ambiguous));
    let twice = request("Content-Length: 3\r\nContent-Length: 4");
    assert_matches!(Framing::of_request(&twice), Err(Fault::Ambiguous));
    for length in ["+3", "-1", "3 4", "0x3", ""] {
        let invalid = request(&format!("Content-Length: {length}"));
        assert_matches!(Framing::of_request(&invalid), Err(Fault::Malformed), "{length}");
    }
    let coding = request("Transfer-Encoding: gzip, chunked");
    assert_matches!(Framing::of_request(&coding), Err(Fault::Malformed));
}

#[test]
fn replies_framed() {
    let reply = |text: &str| {
        let mut input = BytesMut::from(format!("HTTP/1.1 {text}\r\n\r\n").as_str());
        head::take_reply(&mut input, 1_000).unwrap().unwrap()
    };
    let framing = |method: Method, text| Framing::of_reply(&method, &reply(text)).unwrap();
    assert_eq!(framing(Method::GET, "200 X"), Framing::UntilClose);
    assert_eq!(framing(Method::GET, "204 X"), Framing::Length(0));
    assert_eq!(framing(Method::HEAD, "200 X\r\nContent-Length: 9"), Framing::Length(0));
    assert_eq!(framing(Method::GET, "200 X\r\nContent-Length: 9"), Framing::Length(9));
}

#[test]
fn head_limit() {
    let mut input = BytesMut::from("GET / HTTP/1.1\r\nA: 1\r\n\r\n");
    assert_matches!(head::take_request(&mut input, 10), Err(Fault::HeadTooLarge));
    let mut partial = BytesMut::from("GET / HTTP/1.1\r\nA: 1");
    assert_matches!(head::take_request(&mut partial, 100), Ok(None));
}
