//! Request targets that are made of names, whatever the names hold.

use assert_matches::assert_matches;
use bytes::BytesMut;
use http::{HeaderMap, Method};
use proptest::prelude::*;
use winch_http::{Fault, head, target::Target};

/// Longest head in these tests, in bytes.
const LIMIT: usize = 64 * 1024;

/// Decodes `%XX`.
fn decode(text: &str) -> String {
    let mut bytes = text.bytes();
    let mut out = Vec::new();
    while let Some(byte) = bytes.next() {
        let mut digit = || char::from(bytes.next().expect("two digits")).to_digit(16).expect("hex");
        out.push(if byte == b'%' { (digit() * 16 + digit()) as u8 } else { byte });
    }
    String::from_utf8(out).expect("the text of before")
}

/// Encodes a request with this target, and decodes it again.
fn exchange(target: &Target) -> Result<head::Request, Fault> {
    let mut head = BytesMut::new();
    head::put_request(&mut head, &Method::GET, target, &HeaderMap::new());
    let request = head::take_request(&mut head, LIMIT)?.expect("a whole head");
    assert!(head.is_empty(), "no bytes are left for another request");
    Ok(request)
}

proptest! {
    // Guards against a name that ends a parameter, adds one or changes the head.
    #[test]
    fn parameter_whole(name in ".{0,64}", next in ".{0,64}") {
        let target = Target::new("/rows").with_parameter("from", &name).with_parameter("to", &next);
        let request = exchange(&target).expect("a request");
        let (path, query) = request.target.split_once('?').expect("a query");
        let pairs: Vec<_> = query.split('&').map(|pair| pair.split_once('=')).collect();
        let [Some(("from", first)), Some(("to", second))] = pairs[..] else { panic!("{query}") };
        prop_assert_eq!((path, decode(first), decode(second)), ("/rows", name, next));
    }

    // Guards against a name that leaves its segment of the path.
    #[test]
    fn segment_whole(name in ".{0,64}") {
        let request = exchange(&Target::new("/held").with_segment(&name)).expect("a request");
        let segments: Vec<_> = request.target.split('/').collect();
        let ["", "held", segment] = segments[..] else { panic!("{}", request.target) };
        prop_assert!(!segment.contains(['?', '#']));
        prop_assert_eq!(decode(segment), name);
    }

    // Guards against a configured path that changes the head.
    #[test]
    fn any_path(path in "/.{0,64}") {
        exchange(&Target::new(&path)).expect("a request");
    }

    // Guards against a received target that changes when it is passed on.
    #[test]
    fn received_kept(text in "/[!-~]{0,64}") {
        let target = Target::parse(&text).expect("a target");
        prop_assert_eq!(&*exchange(&target).expect("a request").target, &*text);
        prop_assert_eq!(exchange(&target).expect("a request").target, target);
    }
}

// Guards against text that is no target.
#[test]
fn blanks_refused() {
    for text in ["", "/a b", "/a\tb", "/a\r\nb", "/a\u{0}", "/a\u{7f}", " /a", "/a "] {
        assert_matches!(Target::parse(text), None, "{text:?}");
    }
}

// Guards against a path that is configured with encoded parts or a query, and loses them.
#[test]
fn configured_path_kept() {
    for path in ["/health", "/a%20b?x=1&y=%26", "/~a/b;c=1/(d)"] {
        assert_eq!(&*Target::new(path), path);
    }
    assert_eq!(&*Target::new("/a b#\r\n"), "/a%20b%23%0D%0A");
}
