//! What a reply says of a request that was given up.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use winch_http::head::Reply;
use winch_relay::{code::Code, config::Semantics, job::Outcome, trace::Trace, unary};

/// How a delivery ends, as whoever got the request states it or leaves it open.
#[derive(Clone, Copy, Debug)]
enum End {
    Open,
    Dropped,
    NotRun,
}

const ENDS: [End; 3] = [End::Open, End::Dropped, End::NotRun];

/// The outcome of a request of this kind that has ended with `outcome`, after deliveries that have ended
/// so.
fn conclude(ends: &[End], semantics: Semantics, outcome: Outcome) -> Outcome {
    let trace = Trace::default();
    let mut open = Vec::new();
    for end in ends {
        let delivery = trace.deliveries().begin();
        match end {
            End::Open => open.push(delivery),
            End::Dropped => drop(delivery),
            End::NotRun => delivery.not_run(),
        }
    }
    trace.conclude(semantics, outcome)
}

/// The code of the reply to a request that was given up because of `code`, after deliveries that have
/// ended so; the outcome is an error or, if `is_shed`, that of a request that was shed.
fn reply_code(ends: &[End], code: Code, is_shed: bool) -> Code {
    let outcome = match is_shed {
        true => Outcome::Shed { code, retry_after: Duration::ZERO },
        false => Outcome::Error(code),
    };
    match conclude(ends, Semantics::AtMostOnce, outcome) {
        Outcome::Error(code) | Outcome::Shed { code, .. } => code,
        outcome => panic!("{outcome:?}"),
    }
}

// Guards against a promise that is made of what nobody has noted.
#[test]
fn unknown_run_promises_nothing() {
    for code in Code::ALL.iter().copied() {
        for first in ENDS {
            for second in ENDS {
                for is_shed in [false, true] {
                    let ends = [first, second];
                    let reply = reply_code(&ends, code, is_shed);
                    let is_certain = ends.iter().all(|end| matches!(end, End::NotRun));
                    assert!(
                        is_certain || reply.may_have_run(),
                        "{code:?} became {reply:?} after {ends:?}"
                    );
                }
            }
        }
    }
}

#[test]
fn unsent_requests_expire() {
    for ends in [[].as_slice(), &[End::NotRun]] {
        assert_eq!(reply_code(ends, Code::TimedOut, false), Code::Expired);
        assert_eq!(reply_code(ends, Code::Refused, false), Code::Refused);
    }
    assert_eq!(reply_code(&[End::Dropped], Code::Expired, false), Code::TimedOut);
}

// Guards against the status of a replica's reply that passes for a promise.
#[test]
fn answer_promises_nothing() {
    let stream = |resumable| Semantics::Stream { resumable, max_gap: None };
    let kinds = [Semantics::Idempotent, Semantics::AtMostOnce, stream(true), stream(false)];
    for status in (200..600).map(|status| StatusCode::from_u16(status).expect("a status")) {
        for semantics in kinds {
            let reply = Reply { status, headers: HeaderMap::new(), minor: 1 };
            let answer = Outcome::Answer { reply, body: Bytes::new() };
            let outcome = conclude(&[End::Dropped], semantics, answer);
            if unary::guarantees_not_run(status) && !semantics.may_repeat() {
                assert!(matches!(outcome, Outcome::Error(Code::BadReply)), "{status}: {outcome:?}");
            } else {
                assert!(matches!(outcome, Outcome::Answer { .. }), "{status}: {outcome:?}");
            }
        }
    }
}
