//! Numbered log events with rate limits and non-blocking output.
//!
//! [`emit!`] logs an event with its values, [`limit`] limits the lines of each
//! event per second, and [`output`] writes the lines from a separate thread.

pub use log;

pub mod limit;
pub mod output;

use log::Level;

macro_rules! events {
    ($($(#[$doc:meta])* $variant:ident = $number:literal, $level:ident, $text:literal;)*) => {
        /// Numbered events, as listed in `docs/events.md`.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        #[repr(u16)]
        pub enum Event {
            $($(#[$doc])* $variant = $number,)*
        }

        impl Event {
            /// All events in the order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the level at which the event is logged.
            pub fn level(self) -> Level {
                match self { $(Self::$variant => Level::$level,)* }
            }

            /// Returns the message of the event's log line.
            pub fn text(self) -> &'static str {
                match self { $(Self::$variant => $text,)* }
            }
        }
    };
}

events! {
    /// The daemon has started.
    Started = 1001, Info, "daemon started";
    /// A graceful stop has begun; no new work is accepted.
    Stopping = 1002, Info, "graceful stop started, no new work is accepted";
    /// The daemon has stopped after all work ended or was aborted.
    Stopped = 1003, Info, "daemon stopped";
    /// A second signal stopped the daemon while requests were running.
    StopForced = 1004, Error, "second signal received, running requests aborted";
    /// A control task panicked or returned and is restarted.
    TaskRestarted = 1005, Error, "control task ended unexpectedly and is restarted";
    /// A control task was restarted too often.
    RestartLimitReached = 1006, Error, "control task exceeded its restart limit, daemon stops";
    /// A gap between two ticks shows that the process was paused.
    ProcessPaused = 1007, Warn, "process was paused";
    /// The settings were read again.
    SettingsReloaded = 1008, Info, "settings reloaded";
    /// Lines of an event exceeded its rate limit.
    LinesOmitted = 1009, Warn, "log lines omitted by the rate limit";
    /// The platform's store cannot be reached.
    StoreUnreachable = 1010, Warn, "store unreachable";
    /// The platform's store can be reached again.
    StoreReachable = 1011, Info, "store reachable again";
    /// The bytes from a caller are not an acceptable request; this daemon refuses the
    /// request and closes the connection.
    RequestUnreadable = 1012, Warn, "request cannot be parsed or exceeds a size limit";
    /// The whole state of a peer was received.
    PeerSynced = 1013, Info, "state received from a peer";
    /// This daemon receives the store's changes from a seed daemon.
    SeedFollowed = 1014, Info, "following a seed daemon";
    /// A seed daemon is unreachable or out of date, as seen while following it or reporting
    /// a strike to it. A follower tries another seed, and reads the store itself once it
    /// gives up on the seeds.
    SeedLost = 1015, Warn, "seed daemon unreachable or out of date";
    /// The grace period of a stop has expired; running requests are aborted.
    GraceExpired = 1016, Warn, "grace period of the stop expired, running requests aborted";
    /// The changed settings are invalid; the previous ones stay in force.
    SettingsInvalid = 1017, Warn, "changed settings are invalid, previous settings kept";
    /// This daemon was elected to read the store for daemons that can follow no seed.
    ReaderElected = 1018, Info, "elected to read the store for other daemons";
    /// This daemon no longer reads the store for others: a seed is up to date again, or the
    /// lease was lost.
    ReaderRetired = 1019, Info, "no longer reading the store for other daemons";
    /// The store has come back from an older copy; everything is read again.
    StoreRestored = 1020, Warn, "store restored from an older copy, reading everything again";
    /// A stopping daemon accepts no more connections of callers; `queued` of them were
    /// waiting for that.
    ListenerClosed = 1021, Info, "listener for callers closed";
    /// The list of replicas is up to date again after an outage of the store, or after this daemon
    /// was refused.
    OutageEnded = 1022, Info, "list of replicas up to date again";
    /// All pages of a table of the store were read.
    TableRead = 1023, Info, "table of the store read";
    /// A row of the store cannot be decoded and is left out, or counts as empty.
    RowUnreadable = 1024, Warn, "row of the store cannot be decoded";
    /// An attempt on an engine failed or was given up as stalled.
    AttemptFailed = 1101, Warn, "attempt failed";
    /// A hedged attempt was started beside one that may have stalled.
    AttemptHedged = 1102, Info, "attempt may have stalled, hedged attempt started";
    /// A generation continued after an attempt failed, stalled or was hedged.
    GenerationResumed = 1103, Info, "generation resumed";
    /// A generation could not be completed after it had produced new tokens.
    GenerationFailed = 1104, Error, "generation could not be completed";
    /// An upstream crashed while it ran a request.
    UpstreamCrashed = 1105, Warn, "upstream crashed";
    /// A crash was counted as a strike against a request, or a request with strikes was
    /// isolated or refused.
    RequestSuspected = 1106, Warn, "request suspected of crashing engines";
    /// Several requests that hold the same part of a prompt crashed replicas; requests with
    /// this part are refused.
    PartQuarantined = 1107, Warn, "part of prompts quarantined";
    /// A request with a part of a prompt that had strikes survived, so that the strikes
    /// are removed.
    PartCleared = 1108, Info, "part of prompts cleared";
    /// The replica of a strike was found alive, so that the strike is removed.
    StrikeRetracted = 1109, Info, "strike removed, its replica is alive";
    /// A request was answered with a success, or its caller disconnected.
    RequestEnded = 1110, Info, "request ended";
    /// A request failed, was refused or was aborted.
    RequestFailed = 1111, Warn, "request failed";
    /// A replica was chosen for a stream.
    ReplicaChosen = 1112, Info, "replica chosen";
    /// A stream resumed on another replica.
    StreamResumed = 1113, Info, "stream resumed on another replica";
    /// A replica was ejected for a while after a failure.
    ReplicaEjected = 1114, Warn, "replica ejected";
    /// A replica was added: it is new, has restarted or listens on a new address.
    ReplicaUpdated = 1115, Info, "replica added or changed";
    /// A replica is draining or was removed.
    ReplicaLeaving = 1116, Info, "replica draining or removed";
    /// An entry of the list of replicas cannot be parsed, or has an id that cannot be sent.
    ReplicaEntryInvalid = 1117, Warn, "replica entry cannot be parsed";
    /// A request was refused because of the configuration or the daemon's state.
    RequestRefused = 1118, Warn, "request refused before dispatch";
    /// A new KV cache copy of a run replaces a lost one; logged again at each refresh of
    /// the new copy.
    CopyReplaced = 1119, Info, "lost KV cache copy of a run replaced";
    /// A replica has begun or ceased to name a limit of the requests that it takes from all
    /// daemons together.
    ReplicaLimited = 1120, Warn, "limit of a replica changed";
    /// This daemon does not reach most replicas of a service, and passes its requests on to others.
    ServiceOutOfReach = 1121, Error, "replicas of the service out of reach";
    /// This daemon reaches replicas of the service again.
    ServiceReached = 1122, Info, "replicas of the service within reach again";
    /// No replica of a service can start a request in time; this daemon refuses such requests.
    ServiceSaturated = 1123, Warn, "service saturated, requests are refused";
    /// This daemon has refused no request of the service for the length of the target latency.
    ServiceRelieved = 1124, Info, "service no longer saturated";
    /// Replicas of a service were found to differ in speed; requests are placed accordingly.
    SpeedsDiffer = 1125, Info, "speeds of the service's replicas differ";
    /// The replicas of a service no longer differ in speed by more than the noise.
    SpeedsAlike = 1126, Info, "speeds of the service's replicas no longer differ";
    /// A stream waits long for its first event; logged once for each attempt.
    FirstEventLate = 1127, Info, "first event of a stream is late";
    /// A caller's connection was closed although its caller could not expect that.
    ConnectionClosed = 1128, Info, "connection of a caller closed";
    /// A request with strikes ran to its end, so that the strikes are removed.
    RequestCleared = 1129, Info, "request cleared, it ran to its end";
    /// A request with a part of a prompt had survived here before another daemon told a strike
    /// against the part, so that all daemons are told.
    SurvivalTold = 1130, Info, "survival of a part told to all daemons";
    /// An order was sent, but its response was lost or did not arrive in time; the order
    /// may have taken effect.
    OrderOutcomeUnknown = 1201, Error, "outcome of an order is unknown";
    /// The outcome of an order could not be recorded yet; logged once per outcome, however
    /// often recording is retried.
    OutcomeRecordDelayed = 1202, Warn, "recording the outcome of an order failed, retrying";
    /// A new revision of the configuration is in force.
    RevisionInForce = 1301, Info, "configuration revision in force";
    /// The configuration could not be read or decoded.
    ConfigUnreadable = 1302, Warn, "configuration could not be read";
    /// An operator's change was committed.
    ChangeCommitted = 1303, Info, "configuration change committed";
    /// An operator's change was refused.
    ChangeRefused = 1304, Warn, "configuration change refused";
    /// The store has an older configuration than the one in force, which stays in force.
    ConfigOutdated = 1305, Warn, "configuration in the store older than the one in force";
    /// A peer joined, left, died or became suspected.
    PeerStateChanged = 1401, Info, "peer changed state";
    /// The daemon is cut off from the fleet: its peers send no messages or, if it knows no live
    /// peer, the table does not respond.
    Isolated = 1402, Error, "neither peers nor table reachable";
    /// The daemon is no longer cut off from the fleet.
    Rejoined = 1403, Info, "peers or table reachable again";
    /// A version move advanced to its next stage.
    MoveAdvanced = 1501, Info, "version move advanced to its next stage";
    /// The new version of a move is faulty.
    VersionFaulty = 1502, Error, "new version faulty, no more traffic is sent to it";
    /// A version move has reached its verdict.
    MoveVerdict = 1503, Info, "version move reached its verdict";
    /// A version move is likely to miss its deadline.
    MoveLate = 1504, Warn, "version move likely to miss its deadline";
    /// An operator requested a version move of a service.
    MoveRequested = 1505, Info, "version move requested";
    /// Progress of a version move was received.
    MoveUpdated = 1506, Info, "version move progress received";
    /// What is known of the instructions before the latest one of a service has changed; `rejected` names
    /// the versions that were requested, and not established.
    MoveHistory = 1507, Info, "former instructions for a service received";
}

/// Logs an event with `key = value` pairs, unless its rate limit is reached.
#[macro_export]
macro_rules! emit {
    ($event:expr $(, $key:ident = $value:expr)* $(,)?) => {{
        let event: $crate::Event = $event;
        if $crate::limit::admit(event) {
            $crate::log::log!(
                event.level(),
                event = event as u16 $(, $key:% = $value)*;
                "{}",
                event.text()
            );
        }
    }};
}
