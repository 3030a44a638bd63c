//! Numbered log events, bounded in volume, written without blocking.
//!
//! [`emit!`] logs an event with its values, [`limit`] bounds the lines of each
//! event, and [`output`] writes them from a thread of its own.

pub use log;

pub mod limit;
pub mod output;

use log::Level;

macro_rules! events {
    ($($(#[$doc:meta])* $variant:ident = $number:literal, $level:ident, $text:literal;)*) => {
        /// Numbered events; the catalogue in `docs/events.md` lists them all.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        #[repr(u16)]
        pub enum Event {
            $($(#[$doc])* $variant = $number,)*
        }

        impl Event {
            /// All events in the order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Severity.
            pub fn level(self) -> Level {
                match self { $(Self::$variant => Level::$level,)* }
            }

            /// What happened, in one line.
            pub fn text(self) -> &'static str {
                match self { $(Self::$variant => $text,)* }
            }
        }
    };
}

events! {
    /// The daemon is up.
    Started = 1001, Info, "daemon started";
    /// The daemon takes no new work.
    Stopping = 1002, Info, "daemon stops taking work";
    /// The daemon has ended all its work.
    Stopped = 1003, Info, "daemon stopped";
    /// A second signal ended the daemon before its work was done.
    StopForced = 1004, Error, "daemon stopped by a second signal, running work was cut";
    /// A control task panicked or ended and is started again.
    TaskRestarted = 1005, Error, "control task ended and was restarted";
    /// A control task failed too often.
    RestartLimitReached = 1006, Error, "control task failed too often, the daemon stops";
    /// The clock jumped: the process was paused.
    ProcessPaused = 1007, Warn, "the process was paused";
    /// The settings were read again.
    SettingsReloaded = 1008, Info, "settings read again";
    /// More lines of an event were due than its limit allows.
    LinesOmitted = 1009, Warn, "log lines left out";
    /// The platform's store cannot be reached.
    StoreUnreachable = 1010, Warn, "store cannot be reached";
    /// The platform's store answers again.
    StoreReachable = 1011, Info, "store answers again";
    /// A connection to a caller was refused or broken off by this daemon.
    RequestUnreadable = 1012, Warn, "request of a caller cannot be read";
    /// A peer has told what it knows.
    PeerSynced = 1013, Info, "peer has told what it knows";
    /// Another daemon reads the store for this one.
    SeedFollowed = 1014, Info, "seed followed";
    /// The seed is lost or not up to date; this daemon reads the store itself.
    SeedLost = 1015, Warn, "seed lost";
    /// The grace of a planned stop is over; what still runs is cut.
    GraceExpired = 1016, Warn, "grace of the stop is over, running work is cut";
    /// The settings have changed and have faults; those in force stay.
    SettingsInvalid = 1017, Warn, "changed settings have faults";
    /// An attempt on an engine broke.
    AttemptFailed = 1101, Warn, "attempt lost";
    /// A second attempt runs beside a suspected one.
    AttemptHedged = 1102, Info, "attempt suspected, a second one runs beside it";
    /// An answer went on after a loss.
    GenerationResumed = 1103, Info, "answer resumed";
    /// An answer could not be completed.
    GenerationFailed = 1104, Error, "answer could not be completed";
    /// An upstream died.
    UpstreamCrashed = 1105, Warn, "upstream died";
    /// A request was isolated or refused because engines die of it.
    RequestSuspected = 1106, Warn, "request suspected of killing engines";
    /// A request was answered or given up.
    RequestEnded = 1110, Info, "request ended";
    /// A request failed, was refused or broken off.
    RequestFailed = 1111, Warn, "request failed";
    /// A replica was chosen for a stream.
    ReplicaChosen = 1112, Info, "replica chosen";
    /// A stream went on at another replica.
    StreamResumed = 1113, Info, "stream resumed";
    /// A replica is not used for a while after a failure.
    ReplicaEjected = 1114, Warn, "replica avoided";
    /// A replica was listed, changed its state or its address.
    ReplicaUpdated = 1115, Info, "replica listed";
    /// A replica is leaving or gone.
    ReplicaLeaving = 1116, Info, "replica leaving";
    /// An entry of the list of replicas cannot be read.
    ReplicaEntryInvalid = 1117, Warn, "entry of a replica unreadable";
    /// A request was refused by the configuration or the state of the daemon.
    RequestRefused = 1118, Warn, "request not admitted";
    /// A run has a new copy in place of one that was lost.
    CopyReplaced = 1119, Info, "copy of a run renewed";
    /// The outcome of an order is not known.
    OrderOutcomeUnknown = 1201, Error, "outcome of an order is not known";
    /// The outcome of an order could not be recorded yet.
    OutcomeRecordDelayed = 1202, Warn, "outcome of an order could not be recorded yet";
    /// A new revision is in force.
    RevisionInForce = 1301, Info, "revision in force";
    /// The configuration could not be read.
    ConfigUnreadable = 1302, Warn, "configuration could not be read";
    /// An operator's change was committed.
    ChangeCommitted = 1303, Info, "change committed";
    /// An operator's change was refused.
    ChangeRefused = 1304, Warn, "change refused";
    /// A peer joined, left or died.
    PeerStateChanged = 1401, Info, "peer changed state";
    /// No peer and no table can be reached.
    Isolated = 1402, Error, "neither peers nor table can be reached";
    /// The daemon is no longer isolated.
    Rejoined = 1403, Info, "peers or table can be reached again";
    /// A move went to its next stage.
    MoveAdvanced = 1501, Info, "move raised";
    /// A version on trial shows a fault.
    VersionFaulty = 1502, Error, "version faulty, nothing more is sent to it";
    /// A move has its verdict.
    MoveVerdict = 1503, Info, "move has its verdict";
    /// A move is likely to miss its deadline.
    MoveLate = 1504, Warn, "move is likely to be late";
    /// An operator ordered a move of a service.
    MoveRequested = 1505, Info, "move ordered";
    /// This daemon has learnt how far a move has come.
    MoveUpdated = 1506, Info, "move has come further";
}

/// Logs an event with `key = value` pairs.
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
