//! Numbered result codes in responses to callers and operators.

use bytes::Bytes;
use serde_json::json;
use warp::{
    http::{Response, StatusCode},
    reply,
};

/// Whether a failed request may have been executed upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// The request was not executed.
    No,
    /// The request was executed, at least in part.
    Yes,
    /// The request may have been executed.
    Unknown,
}

macro_rules! codes {
    ($($(#[$doc:meta])* $variant:ident = $number:literal, $name:literal, $status:literal, $ran:ident, $retry:literal;)*) => {
        /// Result codes; `docs/codes.md` lists them with their meaning.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        #[repr(u16)]
        pub enum Code {
            $($(#[$doc])* $variant = $number,)*
        }

        impl Code {
            /// All codes in the order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Name of the code in error bodies and metric labels.
            pub fn name(self) -> &'static str {
                match self { $(Self::$variant => $name,)* }
            }

            /// HTTP status of the response.
            pub fn status(self) -> u16 {
                match self { $(Self::$variant => $status,)* }
            }

            /// Whether the request may have been executed upstream.
            pub fn ran(self) -> Ran {
                match self { $(Self::$variant => Ran::$ran,)* }
            }

            /// Whether the caller should retry the same request.
            pub fn retry(self) -> bool {
                match self { $(Self::$variant => $retry,)* }
            }
        }
    };
}

codes! {
    /// The request is malformed.
    BadRequest = 101, "bad_request", 400, No, false;
    /// The API key or operator token is missing or unknown.
    Unauthorized = 102, "unauthorized", 401, No, false;
    /// No route serves the model.
    UnknownModel = 103, "unknown_model", 404, No, false;
    /// No route serves the path.
    NoRoute = 104, "no_route", 404, No, false;
    /// The body exceeds the size limit.
    TooLarge = 105, "too_large", 413, No, false;
    /// The admission queue is full.
    Crowded = 111, "crowded", 429, No, true;
    /// The team has too many queued calls.
    TeamCrowded = 112, "team_crowded", 429, No, true;
    /// The call is not expected to start before the caller's wait limit.
    TooLate = 113, "too_late", 429, No, true;
    /// The call was still queued at the caller's wait limit.
    Expired = 114, "expired", 503, No, true;
    /// No upstream can run the request.
    NoUpstream = 115, "no_upstream", 503, No, true;
    /// The daemon is stopping.
    Stopping = 116, "stopping", 503, No, true;
    /// The request is refused because several engines crashed while they ran it.
    Suspect = 117, "suspect", 422, No, false;
    /// The idempotency key was already used with a different request.
    KeyMismatch = 118, "key_mismatch", 422, No, false;
    /// The ledger of idempotency keys is unavailable, so a keyed call was not sent.
    LedgerUnavailable = 119, "ledger_unavailable", 503, No, true;
    /// Another call with this idempotency key is in progress.
    InProgress = 120, "in_progress", 409, Unknown, true;
    /// The daemon has no configuration yet.
    NotReady = 121, "not_ready", 503, No, true;
    /// The call may have been executed; its outcome is unknown.
    OutcomeUnknown = 201, "outcome_unknown", 504, Unknown, false;
    /// An idempotent call failed on every upstream tried.
    UpstreamFailed = 202, "upstream_failed", 502, Unknown, true;
    /// No engine could complete the answer.
    GenerationFailed = 203, "generation_failed", 502, Yes, true;
    /// The answer cannot be resumed with the tokens the caller already received.
    ResumeUnavailable = 204, "resume_unavailable", 410, Yes, true;
    /// The event id was not issued by this fleet, belongs to another request or does not match
    /// the accepted tokens.
    BadTicket = 205, "bad_ticket", 400, No, false;
    /// The request is refused because several engines crashed, also while they ran it for this call.
    EnginesCrashed = 206, "engines_crashed", 422, Unknown, false;
    /// The changed configuration has faults; the body lists them.
    Faulty = 401, "faulty", 422, No, false;
    /// Another change was committed first: the base revision is no longer the head, or a change
    /// without a base lost too many races.
    Conflict = 402, "conflict", 409, No, true;
    /// The configuration table is unavailable; the change was not accepted.
    TableUnavailable = 403, "table_unavailable", 503, No, true;
    /// It is unknown whether the change was committed.
    ChangeUnknown = 404, "change_unknown", 504, Unknown, false;
    /// The object does not exist.
    NotFound = 405, "not_found", 404, No, false;
}

impl Code {
    /// The code with this number; `None` if there is none.
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL.iter().copied().find(|code| *code as u16 == number)
    }

    /// JSON body of an error response.
    pub fn body(self, message: &str) -> serde_json::Value {
        let not_run = match self.ran() {
            Ran::No => json!(true),
            Ran::Yes => json!(false),
            Ran::Unknown => json!("unknown"),
        };
        json!({ "error": {
            "code": self as u16,
            "name": self.name(),
            "message": message,
            "not_run": not_run,
            "retry": self.retry(),
        }})
    }

    /// Error response without `Retry-After`.
    pub fn response(self, message: &str) -> reply::Response {
        self.response_after(message, None)
    }

    /// Error response; `seconds` is the value of `Retry-After`, which is absent for `None`.
    pub fn response_after(self, message: &str, seconds: Option<u64>) -> reply::Response {
        let status =
            StatusCode::from_u16(self.status()).expect("every code has a valid HTTP status");
        let mut response = warp::Reply::into_response(Response::new(""));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        headers.insert("content-type", "application/json".parse().expect("a valid header value"));
        if let Some(seconds) = seconds {
            headers.insert("retry-after", seconds.into());
        }
        let (parts, _) = response.into_parts();
        let body = Bytes::from(self.body(message).to_string());
        let (_, body) = warp::Reply::into_response(body.to_vec()).into_parts();
        reply::Response::from_parts(parts, body)
    }
}
