//! Numbered result codes of the errors that the daemon itself returns to callers.

use http::StatusCode;

macro_rules! codes {
    ($(
        $(#[$doc:meta])*
        $variant:ident = $number:literal, $name:literal, $status:ident, $may_have_run:literal;
    )*) => {
        /// Result codes; the table in `docs/codes.md` lists them all.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        #[repr(u16)]
        pub enum Code {
            $($(#[$doc])* $variant = $number,)*
        }

        impl Code {
            /// All codes, ordered by number.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Name in replies, logs and metric labels.
            pub fn name(self) -> &'static str {
                match self { $(Self::$variant => $name,)* }
            }

            /// The code with this number; `None` if there is none.
            pub fn from_number(number: u16) -> Option<Self> {
                Self::ALL.iter().copied().find(|code| *code as u16 == number)
            }

            /// HTTP status of the reply.
            pub fn status(self) -> StatusCode {
                match self { $(Self::$variant => StatusCode::$status,)* }
            }

            /// Whether a replica may have run the request.
            pub fn may_have_run(self) -> bool {
                match self { $(Self::$variant => $may_have_run,)* }
            }
        }
    };
}

codes! {
    /// The request is malformed or ambiguous HTTP.
    BadRequest = 601, "bad_request", BAD_REQUEST, false;
    /// The request head exceeds the size limit.
    HeadTooLarge = 602, "head_too_large", REQUEST_HEADER_FIELDS_TOO_LARGE, false;
    /// The request body exceeds the size limit.
    BodyTooLarge = 603, "body_too_large", PAYLOAD_TOO_LARGE, false;
    /// No route matches the host and path.
    NoRoute = 604, "no_route", NOT_FOUND, false;
    /// The API key is missing or belongs to no team.
    UnknownKey = 605, "unknown_key", UNAUTHORIZED, false;
    /// The daemon has not received a configuration yet.
    NoConfig = 606, "no_plan", SERVICE_UNAVAILABLE, false;
    /// The daemon is stopping and takes no new stream, nor another request that could outlast it;
    /// or it has stopped before it could send the request to a replica.
    Stopping = 607, "stopping", SERVICE_UNAVAILABLE, false;
    /// No replica of the service is available.
    NoReplica = 608, "no_replica", SERVICE_UNAVAILABLE, false;
    /// Every replica that was tried refused the request.
    Refused = 609, "refused", SERVICE_UNAVAILABLE, false;
    /// The deadline passed before the request was sent.
    Expired = 610, "expired", SERVICE_UNAVAILABLE, false;
    /// The retry budget of the service was exhausted before the request ran.
    NoBudget = 611, "no_budget", SERVICE_UNAVAILABLE, false;
    /// The request has crashed several replicas and is quarantined.
    Suspect = 612, "suspect", SERVICE_UNAVAILABLE, false;
    /// The prompt has all the parts that are suspect of crashing several replicas.
    SuspectPart = 613, "suspect_part", SERVICE_UNAVAILABLE, false;
    /// The replicas of the service name limits, and this daemon's shares of them are used up.
    Limited = 614, "limited", SERVICE_UNAVAILABLE, false;
    /// The daemon has no room for requests that other daemons pass on.
    Busy = 615, "busy", SERVICE_UNAVAILABLE, false;
    /// No replica of the service can start the request within the route's target latency.
    Overloaded = 616, "overloaded", SERVICE_UNAVAILABLE, false;
    /// The request did not arrive completely in time.
    SlowRequest = 617, "slow_request", REQUEST_TIMEOUT, false;
    /// The request crossed the close of its idle connection.
    ClosedIdle = 618, "closed_idle", REQUEST_TIMEOUT, false;
    /// The daemon has no memory left for the body of the request.
    NoRoom = 619, "no_room", SERVICE_UNAVAILABLE, false;
    /// The connection to the replica broke; the request may have run.
    Broken = 620, "broken", BAD_GATEWAY, true;
    /// The reply of the replica is invalid, or its status says that a request has not run which may
    /// have run.
    BadReply = 621, "bad_reply", BAD_GATEWAY, true;
    /// The deadline of the request or its route passed; the request may have run.
    TimedOut = 622, "timed_out", GATEWAY_TIMEOUT, true;
}
