//! What a reply says of a request that was given up.

use std::time::Duration;

use winch_relay::{code::Code, job::Outcome, trace::Trace};

/// How a delivery ends, as whoever got the request states it or leaves it open.
#[derive(Clone, Copy, Debug)]
enum End {
    Open,
    Dropped,
    NotRun,
}

const ENDS: [End; 3] = [End::Open, End::Dropped, End::NotRun];

/// The code of the reply to a request that was given up because of `code`, after deliveries that have
/// ended so; the outcome is an error or, if `is_shed`, that of a request that was shed.
fn reply_code(ends: &[End], code: Code, is_shed: bool) -> Code {
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
    let outcome = match is_shed {
        true => Outcome::Shed { code, retry_after: Duration::ZERO },
        false => Outcome::Error(code),
    };
    match trace.conclude(outcome) {
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
