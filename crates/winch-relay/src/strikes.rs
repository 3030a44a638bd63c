//! Detects requests that crash the replicas that run them.
//!
//! When a replica crashes before it has answered anything, or soon after its first event, the
//! request that was sent to it gets a strike, as do the parts that its prompt shares with others.
//! A stream that must not be repeated gets one even if the replica crashes later. Daemons share
//! their strikes; a request with several strikes, or with a part that has several, is refused
//! before it is sent to a replica.

mod attribution;
mod identity;
mod log;

use std::collections::VecDeque;

use winch_route::{
    quarantine::{self, Ledger, Part},
    suspect::{Crash, Disposition, Fingerprint, Options, Tracker},
};

pub use self::attribution::{
    attribute_crash, attribute_crash_later, record_completion, record_survival, report_untold,
};
use self::log::Log;
pub use self::{
    identity::{fingerprint, shared_parts},
    log::Notice,
};
use crate::{counter, prelude::*};

/// Number of strikes of this daemon's own that are kept for telling them again.
const MAX_OBSERVED: usize = 64;
/// Number of retracted crashes that are remembered, so that late strikes for them do not count.
const MAX_RETRACTED: usize = 256;
/// Number of completed requests that are remembered, for the same reason.
const MAX_COMPLETED: usize = 256;
/// Strikes of other daemons that are older count as of this age.
const MAX_AGE: Duration = Duration::from_secs(600);
/// Time from the first event of an attempt after which it has survived: a crash that follows is
/// not attributed to its request.
pub const SURVIVAL_TIME: Duration = Duration::from_secs(1);

/// Evidence that a request crashed a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Strike {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// The crash that is attributed to it.
    pub crash: Crash,
    /// The parts that its prompt may share with other requests, in their order.
    pub parts: Arc<[Part]>,
    /// When the crash was observed.
    pub at: Instant,
}

/// All strikes known to this daemon.
#[derive(Debug)]
pub struct Strikes {
    tracker: Tracker,
    parts: Ledger,
    /// When the daemon started.
    origin: Instant,
    /// The newest notices. Their strikes name no part that was cleared.
    recent: Log,
    /// The newest strikes that this daemon has observed itself, the oldest first.
    observed: VecDeque<Strike>,
    /// Whether what was refused before this daemon's start has been read or told.
    is_synced: bool,
    /// Crashes that were retracted, and when, the oldest first.
    retracted: VecDeque<(Crash, Instant)>,
    /// Requests with strikes that ran to their ends, and when, the oldest first.
    completed: VecDeque<(Fingerprint, Instant)>,
    /// Survivals here that all daemons are to be told.
    untold: Vec<(Part, Instant)>,
}

impl Strikes {
    /// Creates an empty set of strikes for a daemon that starts at `origin`.
    pub fn new(origin: Instant) -> Self {
        let tracker = Tracker::new(Options::default());
        let parts = Ledger::new(quarantine::Options::default());
        Self {
            tracker,
            parts,
            origin,
            recent: Log::default(),
            observed: VecDeque::new(),
            is_synced: false,
            retracted: VecDeque::new(),
            completed: VecDeque::new(),
            untold: Vec::new(),
        }
    }

    /// Whether what was refused before this daemon's start has been read or told.
    pub fn is_synced(&self) -> bool {
        self.is_synced
    }

    /// Records that what was refused before this daemon's start has been read or told.
    pub fn mark_synced(&mut self) {
        self.is_synced = true;
    }

    /// How long a strike against a request counts.
    pub fn lifetime(&self) -> Duration {
        self.tracker.lifetime()
    }

    /// The time that the tracker and the ledger use; strikes from before the start of this daemon
    /// have one, too.
    fn since_origin(&self, at: Instant) -> Duration {
        since_origin(self.origin, at)
    }

    /// Records a crash that this daemon has observed, and returns whether and how the request
    /// may still run.
    pub fn record_crash(&mut self, strike: Strike) -> Disposition {
        let (now, at) = (strike.at, self.since_origin(strike.at));
        // The same replica may crash after it was found alive.
        self.retracted.retain(|(crash, _)| *crash != strike.crash);
        let is_part_new = self.record_parts(&strike, at);
        let (request, crash, parts) = (strike.request, strike.crash, strike.parts.clone());
        let is_explained = self.parts.explains(crash);
        let is_request_new =
            !is_explained && !self.tracker.record_crash(crash, &[request], at).is_empty();
        if is_part_new || is_explained || is_request_new {
            self.push_observed(strike.clone());
            self.push_strike(strike, at);
        }
        self.disposition(request, &parts, now)
    }

    /// Applies a strike received from another daemon, and returns whether it was new, or names parts
    /// that were not known to be struck.
    pub fn apply(&mut self, strike: Strike) -> bool {
        let at = self.since_origin(strike.at);
        if self.is_known(&strike, at)
            || self.is_retracted(strike.crash, strike.at)
            || self.is_completed(strike.request, strike.at)
        {
            return false;
        }
        self.note_untold(&strike, at);
        let is_part_new = self.record_parts(&strike, at);
        let is_explained = self.parts.explains(strike.crash);
        let is_request_new =
            !is_explained && self.tracker.record_strike(strike.request, strike.crash, at);
        let is_new = is_part_new || is_explained || is_request_new;
        if is_new {
            self.push_strike(strike, at);
        }
        is_new
    }

    /// Whether this strike is known, with all its parts that have not survived.
    fn is_known(&self, strike: &Strike, at: Duration) -> bool {
        let Strike { request, crash, parts, .. } = strike;
        let is_open = |part: &&Part| !self.parts.is_cleared(**part, at);
        let is_told = |known: &Strike| {
            (known.request, known.crash) == (*request, *crash)
                && parts.iter().filter(is_open).all(|part| known.parts.contains(part))
        };
        let has_open_part = parts.iter().any(|part| is_open(&part));
        has_open_part && self.parts.has_strike(*request, *crash, parts, at)
            || self.recent.strikes().any(is_told)
    }

    /// Records a strike against the parts of its request; returns whether it is new to one of them.
    /// Crashes that quarantined parts explain no longer count against whole requests.
    fn record_parts(&mut self, strike: &Strike, at: Duration) -> bool {
        let Strike { request, crash, parts, .. } = strike;
        let finding = self.parts.record_strike(*request, *crash, parts, at);
        for crash in &finding.explained {
            self.tracker.retract(*crash);
        }
        if !finding.quarantined.is_empty() {
            let crashes = finding.explained.len();
            let parts = label_hashes(&finding.quarantined);
            emit!(Event::PartQuarantined, part = parts, crashes = crashes);
            counter::part_quarantined();
        }
        finding.is_new
    }

    fn push_strike(&mut self, mut strike: Strike, at: Duration) {
        let is_suspect = |part: &Part| !self.parts.is_cleared(*part, at);
        strike.parts = strike.parts.iter().copied().filter(is_suspect).collect();
        self.recent.push(Notice::Struck(strike));
    }

    fn push_observed(&mut self, strike: Strike) {
        self.observed.push_back(strike);
        if self.observed.len() > MAX_OBSERVED {
            self.observed.pop_front();
        }
    }

    /// Records that a request with these parts survived here at `at`. Returns the parts that had
    /// strikes, which are removed.
    pub fn clear(&mut self, parts: &[Part], at: Instant) -> Vec<Part> {
        let cleared = self.parts.clear(parts, self.since_origin(at));
        for part in &cleared {
            self.record_clearance(*part, at);
        }
        cleared
    }

    /// Applies a survival that another daemon has told.
    pub fn apply_clearance(&mut self, part: Part, at: Instant) {
        if self.parts.clear_told(part, self.since_origin(at)) {
            self.record_clearance(part, at);
        }
    }

    /// Takes a part out of the strikes in the notices that its survival at `at` cancels, and notes the
    /// survival.
    fn record_clearance(&mut self, part: Part, at: Instant) {
        let (parts, origin) = (&self.parts, self.origin);
        let cleared_at = since_origin(origin, at);
        self.recent
            .take_out(part, |strike| parts.cancels(cleared_at, since_origin(origin, strike.at)));
        emit!(Event::PartCleared, part = format!("{:016x}", part.0));
        self.recent.push(Notice::Cleared(part, at));
    }

    /// Takes the survivals here that cancel strikes from elsewhere, and that all daemons
    /// have yet to be told: the others count these strikes.
    pub fn take_untold(&mut self) -> Vec<(Part, Instant)> {
        std::mem::take(&mut self.untold)
    }

    /// Notes the survivals here of which the daemon that observed the strike has not been told.
    fn note_untold(&mut self, strike: &Strike, at: Duration) {
        for (part, cleared_at) in self.parts.take_untold(&strike.parts, at) {
            let age = at.saturating_sub(cleared_at);
            let cleared_at =
                strike.at.checked_sub(age).unwrap_or(strike.at) + cleared_at.saturating_sub(at);
            emit!(Event::SurvivalTold, part = format!("{:016x}", part.0));
            self.recent.push(Notice::Cleared(part, cleared_at));
            self.untold.push((part, cleared_at));
        }
    }

    /// Removes the strikes for a crash, because its replica was found alive at `at`, here or by
    /// another daemon. Returns whether that is new.
    pub fn retract(&mut self, crash: Crash, at: Instant) -> bool {
        if self.is_retracted(crash, at) {
            return false;
        }
        self.retracted.push_back((crash, at));
        if self.retracted.len() > MAX_RETRACTED {
            self.retracted.pop_front();
        }
        self.tracker.retract(crash);
        self.parts.retract(crash);
        self.recent.retract(crash, at);
        self.recent.push(Notice::Retracted(crash, at));
        true
    }

    /// Whether a strike of time `at` for this crash no longer counts, because its replica was found
    /// alive afterwards.
    pub fn is_retracted(&self, crash: Crash, at: Instant) -> bool {
        self.retracted.iter().any(|(known, since)| *known == crash && at <= *since)
    }

    /// Whether neither a request nor a part has a strike.
    pub fn is_empty(&self) -> bool {
        self.tracker.is_empty() && self.parts.is_empty()
    }

    /// Whether and how a request whose prompt has these shared parts may run at `now`.
    pub fn disposition(&self, request: Fingerprint, parts: &[Part], now: Instant) -> Disposition {
        if self.find_quarantined(parts, now).is_some() {
            return Disposition::Refused;
        }
        self.tracker.disposition(request, self.since_origin(now))
    }

    /// Whether a request with this part has survived lately.
    pub fn is_cleared(&self, part: Part, now: Instant) -> bool {
        self.parts.is_cleared(part, self.since_origin(now))
    }

    /// The parts for which a request with these ones is refused; `None` if it is not.
    pub fn find_quarantined(&self, parts: &[Part], now: Instant) -> Option<Arc<[Part]>> {
        self.parts.find_quarantined(parts, self.since_origin(now))
    }

    /// Takes the right to run one request with the `quarantined` parts; false if no trial is due.
    pub fn start_trial(&mut self, quarantined: &[Part], now: Instant) -> bool {
        let at = self.since_origin(now);
        self.parts.start_trial(quarantined, at)
    }

    /// Records that a request ran to its end at `at`, here, which removes its strikes from before.
    /// Returns whether there were any, so that other daemons have to know.
    pub fn record_completion(&mut self, request: Fingerprint, at: Instant) -> bool {
        let had_strikes = self.tracker.record_completion_at(request, self.since_origin(at));
        if had_strikes {
            self.push_completed(request, at);
        }
        had_strikes
    }

    /// Applies a completion that another daemon has told.
    pub fn apply_completion(&mut self, request: Fingerprint, at: Instant) {
        if !self.is_completed(request, at) {
            self.tracker.record_completion_at(request, self.since_origin(at));
            self.push_completed(request, at);
        }
    }

    fn push_completed(&mut self, request: Fingerprint, at: Instant) {
        self.completed.push_back((request, at));
        if self.completed.len() > MAX_COMPLETED {
            self.completed.pop_front();
        }
        self.recent.push(Notice::Completed(request, at));
    }

    /// Whether a strike of time `at` against this request no longer counts, because the request ran
    /// to its end afterwards.
    pub fn is_completed(&self, request: Fingerprint, at: Instant) -> bool {
        self.completed.iter().any(|(known, since)| *known == request && at <= *since)
    }

    /// The strikes for which requests and parts are refused at `now`.
    pub fn decisive(&self, now: Instant) -> Vec<Strike> {
        let since_origin = self.since_origin(now);
        let strike = |request, crash, parts: Arc<[Part]>, at: Duration| {
            let at = now.checked_sub(since_origin.saturating_sub(at)).unwrap_or(now);
            Strike { request, crash, parts, at }
        };
        let mut decisive = Vec::new();
        for (request, strikes) in self.tracker.refused(since_origin) {
            decisive.extend(
                strikes.iter().map(|(crash, at)| strike(request, *crash, Arc::default(), *at)),
            );
        }
        for (group, strikes) in self.parts.quarantined(since_origin) {
            let parts = || group.parts.clone();
            decisive.extend(strikes.iter().map(|s| strike(s.request, s.crash, parts(), s.at)));
        }
        decisive
    }

    /// The strikes that a daemon is told which may know none: those for which requests and parts are
    /// refused at `now`, and those that this daemon has observed and that still count.
    pub fn known(&self, now: Instant) -> Vec<Strike> {
        let since_origin = self.since_origin(now);
        let counts = |strike: &&Strike| {
            now.saturating_duration_since(strike.at) < self.lifetime()
                && !self.is_retracted(strike.crash, strike.at)
                && !self.is_completed(strike.request, strike.at)
        };
        let is_suspect = |part: &Part| !self.parts.is_cleared(*part, since_origin);
        let without_cleared = |strike: &Strike| Strike {
            parts: strike.parts.iter().copied().filter(is_suspect).collect(),
            ..strike.clone()
        };
        // First those with all their parts: earlier releases skip a strike that they have.
        let mut known: Vec<Strike> =
            self.observed.iter().filter(counts).map(without_cleared).collect();
        known.extend(self.decisive(now));
        known
    }

    /// Number of requests and groups of parts that are refused at `now`.
    pub fn refused_count(&self, now: Instant) -> usize {
        let at = self.since_origin(now);
        self.tracker.refused(at).count() + self.parts.quarantined(at).count()
    }

    /// The notices that followed the first `count` ones, as far as they are kept, and the
    /// number of all notices so far; the next call takes this number as its `count`.
    pub fn after(&self, count: usize) -> (Vec<Notice>, usize) {
        self.recent.after(count)
    }
}

/// The time that the tracker and the ledger of a daemon that started at `origin` use.
fn since_origin(origin: Instant, at: Instant) -> Duration {
    let uptime = at.saturating_duration_since(origin);
    (MAX_AGE + uptime).saturating_sub(origin.saturating_duration_since(at))
}

/// The hashes of parts for the log.
fn label_hashes(parts: &[Part]) -> String {
    parts.iter().map(|part| format!("{:016x}", part.0)).collect::<Vec<_>>().join(",")
}
