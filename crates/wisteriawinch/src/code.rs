//! Numbered result codes that callers and operators see.

use bytes::Bytes;
use serde_json::json;
use warp::{
    http::{Response, StatusCode},
    reply,
};

/// Whether a request that was not served may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// It certainly did not run.
    No,
    /// It ran, at least in part.
    Yes,
    /// It may have run.
    Unknown,
}

macro_rules! codes {
    ($($(#[$doc:meta])* $variant:ident = $number:literal, $name:literal, $status:literal, $ran:ident, $retry:literal;)*) => {
        /// Numbered results; the table in `docs/codes.md` lists them all.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        #[repr(u16)]
        pub enum Code {
            $($(#[$doc])* $variant = $number,)*
        }

        impl Code {
            /// All codes in the order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// The code's name.
            pub fn name(self) -> &'static str {
                match self { $(Self::$variant => $name,)* }
            }

            /// HTTP status that goes with it.
            pub fn status(self) -> u16 {
                match self { $(Self::$variant => $status,)* }
            }

            /// Whether the request may have run.
            pub fn ran(self) -> Ran {
                match self { $(Self::$variant => Ran::$ran,)* }
            }

            /// Whether sending the same request again is worthwhile.
            pub fn retry(self) -> bool {
                match self { $(Self::$variant => $retry,)* }
            }
        }
    };
}

codes! {
    /// The request cannot be read.
    BadRequest = 101, "bad_request", 400, No, false;
    /// The API key or operator token is missing or not known.
    Unauthorized = 102, "unauthorized", 401, No, false;
    /// No route serves the model.
    UnknownModel = 103, "unknown_model", 404, No, false;
    /// No route serves the path.
    NoRoute = 104, "no_route", 404, No, false;
    /// The body is larger than allowed.
    TooLarge = 105, "too_large", 413, No, false;
    /// Too many calls wait.
    Crowded = 111, "crowded", 429, No, true;
    /// The team has too many calls waiting.
    TeamCrowded = 112, "team_crowded", 429, No, true;
    /// It would not start while its caller waits.
    TooLate = 113, "too_late", 429, No, true;
    /// It waited as long as its caller does and could not start.
    Expired = 114, "expired", 503, No, true;
    /// No upstream is fit to run it.
    NoUpstream = 115, "no_upstream", 503, No, true;
    /// The daemon is stopping.
    Stopping = 116, "stopping", 503, No, true;
    /// The request is suspected of killing the engines that run it.
    Suspect = 117, "suspect", 422, No, false;
    /// The idempotency key was used with another request.
    KeyMismatch = 118, "key_mismatch", 422, No, false;
    /// The ledger cannot be reached, so a keyed call was not sent.
    LedgerUnavailable = 119, "ledger_unavailable", 503, No, true;
    /// A call with this idempotency key is under way.
    InProgress = 120, "in_progress", 409, Unknown, true;
    /// The daemon has no configuration yet.
    NotReady = 121, "not_ready", 503, No, true;
    /// The call may have run; its outcome is not known.
    OutcomeUnknown = 201, "outcome_unknown", 504, Unknown, false;
    /// Every upstream tried failed an idempotent call.
    UpstreamFailed = 202, "upstream_failed", 502, Unknown, true;
    /// The answer could not be completed on any engine.
    GenerationFailed = 203, "generation_failed", 502, Yes, true;
    /// What the caller already holds cannot be continued exactly.
    ResumeUnavailable = 204, "resume_unavailable", 410, Yes, true;
    /// The event id was not issued by this fleet or is of another request.
    BadTicket = 205, "bad_ticket", 400, No, false;
    /// The set has faults; see their own codes.
    Faulty = 401, "faulty", 422, No, false;
    /// Another change came first.
    Conflict = 402, "conflict", 409, No, true;
    /// The table gave no answer; nothing was accepted.
    TableUnavailable = 403, "table_unavailable", 503, No, true;
    /// Whether the change was committed is not known.
    ChangeUnknown = 404, "change_unknown", 504, Unknown, false;
    /// There is no such object.
    NotFound = 405, "not_found", 404, No, false;
}

impl Code {
    /// The code with this number.
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL.iter().copied().find(|code| *code as u16 == number)
    }

    /// The body of an error.
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

    /// A whole response.
    pub fn response(self, message: &str) -> reply::Response {
        self.response_after(message, None)
    }

    /// A whole response with `Retry-After` in seconds.
    pub fn response_after(self, message: &str, seconds: Option<u64>) -> reply::Response {
        let status = StatusCode::from_u16(self.status()).expect("every status is a valid one");
        let mut response = warp::Reply::into_response(Response::new(""));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        headers.insert("content-type", "application/json".parse().expect("a valid value"));
        if let Some(seconds) = seconds {
            headers.insert("retry-after", seconds.into());
        }
        let (parts, _) = response.into_parts();
        let body = Bytes::from(self.body(message).to_string());
        let (_, body) = warp::Reply::into_response(body.to_vec()).into_parts();
        reply::Response::from_parts(parts, body)
    }
}
