//! Whose failure it is that a connection could not be opened.

use std::io::Error as IoError;

use winch_http::client::Error;
use winch_relay::opening::Failure;

/// Errors of Linux, by number.
const CASES: [(i32, &str, Failure); 12] = [
    (110, "ETIMEDOUT", Failure::TimedOut),
    (111, "ECONNREFUSED", Failure::Refused),
    (104, "ECONNRESET", Failure::Refused),
    (113, "EHOSTUNREACH", Failure::Unreachable),
    (101, "ENETUNREACH", Failure::Unreachable),
    (13, "EACCES", Failure::Unreachable),
    (22, "EINVAL", Failure::Unreachable),
    (24, "EMFILE", Failure::Host),
    (23, "ENFILE", Failure::Host),
    (99, "EADDRNOTAVAIL", Failure::Host),
    (105, "ENOBUFS", Failure::Host),
    (12, "ENOMEM", Failure::Host),
];

#[test]
fn failure_of_error() {
    for (number, name, failure) in CASES {
        let source = IoError::from_raw_os_error(number);
        assert_eq!(Failure::of(&source), failure, "{name}");
        assert_eq!(Failure::of_exchange(&Error::Connect { source }), Some(failure), "{name}");
    }
    assert_eq!(Failure::of_exchange(&Error::timed_out()), Some(Failure::TimedOut));
}

#[test]
fn broken_connection_was_open() {
    let source = IoError::from_raw_os_error(24);
    assert_eq!(Failure::of_exchange(&Error::Broken { source }), None);
}
