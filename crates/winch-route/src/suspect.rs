//! Attributes crashes of engines to the requests that were running on them.
//!
//! Each crash adds a strike to every request that the engine was running. One
//! strike is weak evidence, since most of those requests are innocent; by
//! default the second isolates a request and the third refuses it. A strike is
//! identified by its request and crash, so recording it again changes nothing.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Fingerprint of a request and its team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u64);

/// Identifies one crash of one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Crash(pub u64);

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// Without restriction.
    Clear,
    /// On any replica that runs no other request with a strike.
    Struck,
    /// Alone on one replica; only one such request runs at a time.
    Isolated,
    /// Not at all.
    Refused,
}

/// Thresholds and limits of a tracker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Number of strikes at which a request is isolated.
    pub isolation_threshold: usize,
    /// Number of strikes at which a request is refused.
    pub refusal_threshold: usize,
    /// How long a strike counts.
    pub lifetime: Duration,
    /// Number of crashes within [`Options::shared_window`] that indicates a shared cause.
    pub shared_crashes: usize,
    /// How long a crash counts towards [`Options::shared_crashes`].
    pub shared_window: Duration,
    /// Number of fingerprints at which strikes are dropped to make room.
    pub max_fingerprints: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            isolation_threshold: 2,
            refusal_threshold: 3,
            lifetime: Duration::from_secs(600),
            shared_crashes: 4,
            shared_window: Duration::from_secs(2),
            max_fingerprints: 16_384,
        }
    }
}

/// The strikes of all requests.
#[derive(Debug)]
pub struct Tracker {
    options: Options,
    strikes: HashMap<Fingerprint, Vec<(Crash, Duration)>>,
    /// Crashes within the shared window, oldest first.
    recent_crashes: VecDeque<(Crash, Duration)>,
}

/// Computes the fingerprint of a request from its team, model and prompt.
///
/// The amount of white space between words has no effect, and the caller's key is not
/// included.
pub fn fingerprint(team: &str, model: &str, prompt: &str) -> Fingerprint {
    let words = prompt.split_whitespace().map(crate::hash::name);
    let seed = crate::hash::score(crate::hash::name(team), crate::hash::name(model));
    Fingerprint(words.fold(seed, |hash, word| crate::hash::mix(hash ^ word)))
}

impl Tracker {
    /// Creates a tracker without strikes.
    pub fn new(options: Options) -> Self {
        Self { options, strikes: HashMap::new(), recent_crashes: VecDeque::new() }
    }

    /// Records a crash and a strike of each request in `running`, the requests that the
    /// crashed upstream ran; returns those for which the strike is new.
    ///
    /// Many crashes at nearly the same time are taken to have a shared cause, such as the
    /// loss of a rack or a bad version, and their strikes are removed. A request that was
    /// running on several of the crashed upstreams, one after the other, keeps its
    /// strikes, unless there are so many such requests that the version must be the cause.
    /// The returned requests include those whose strike is removed again for this reason.
    pub fn record_crash(
        &mut self,
        crash: Crash,
        running: &[Fingerprint],
        now: Duration,
    ) -> Vec<Fingerprint> {
        if self.recent_crashes.iter().all(|(known, _)| *known != crash) {
            self.recent_crashes.push_back((crash, now));
        }
        let horizon = now.saturating_sub(self.options.shared_window);
        while self.recent_crashes.front().is_some_and(|(_, at)| *at < horizon) {
            self.recent_crashes.pop_front();
        }
        let struck = running
            .iter()
            .copied()
            .filter(|request| self.record_strike(*request, crash, now))
            .collect();
        if self.recent_crashes.len() >= self.options.shared_crashes {
            self.remove_shared_strikes();
        }
        struck
    }

    /// Removes a crash and its strikes, because the upstream proved to be alive.
    pub fn retract(&mut self, crash: Crash) {
        self.recent_crashes.retain(|(known, _)| *known != crash);
        self.strikes.retain(|_, strikes| {
            strikes.retain(|(known, _)| *known != crash);
            !strikes.is_empty()
        });
    }

    /// Records one strike, from a peer or from this daemon; false if it was already recorded.
    pub fn record_strike(&mut self, request: Fingerprint, crash: Crash, now: Duration) -> bool {
        self.make_room(now);
        let strikes = self.strikes.entry(request).or_default();
        let is_new = strikes.iter().all(|(known, _)| *known != crash);
        if is_new {
            strikes.push((crash, now));
        }
        is_new
    }

    /// Removes the strikes of the recent crashes that their shared cause explains.
    fn remove_shared_strikes(&mut self) {
        /// Largest number of requests with repeated strikes that are held responsible, instead
        /// of the version, whatever their share.
        const MAX_REPEATED: usize = 4;
        /// Largest share, among the requests that recent crashes struck, at which those with
        /// repeated strikes are held responsible even if they exceed `MAX_REPEATED`.
        const MAX_REPEATED_SHARE: f64 = 1.0 / 3.0;
        let recent: Vec<Crash> = self.recent_crashes.iter().map(|(crash, _)| *crash).collect();
        let recent_strikes = |strikes: &[(Crash, Duration)]| {
            strikes.iter().filter(|(crash, _)| recent.contains(crash)).count()
        };
        let counts: Vec<usize> =
            self.strikes.values().map(|s| recent_strikes(s)).filter(|count| *count > 0).collect();
        let repeated = counts.iter().filter(|count| **count > 1).count();
        let is_version_at_fault =
            repeated > MAX_REPEATED && repeated as f64 > counts.len() as f64 * MAX_REPEATED_SHARE;
        self.strikes.retain(|_, strikes| {
            if is_version_at_fault || recent_strikes(strikes) == 1 {
                strikes.retain(|(crash, _)| !recent.contains(crash));
            }
            !strikes.is_empty()
        });
    }

    /// Removes all strikes of a request, because it ran to its end.
    pub fn record_completion(&mut self, request: Fingerprint) {
        self.record_completion_at(request, Duration::MAX);
    }

    /// Removes the strikes of a request that ran to its end at `at`, except later ones; returns whether
    /// there were any.
    pub fn record_completion_at(&mut self, request: Fingerprint, at: Duration) -> bool {
        let Some(strikes) = self.strikes.get_mut(&request) else { return false };
        let count = strikes.len();
        strikes.retain(|(_, struck_at)| *struck_at > at);
        let has_removed = strikes.len() < count;
        if strikes.is_empty() {
            self.strikes.remove(&request);
        }
        has_removed
    }

    /// How a request may run at `now`.
    pub fn disposition(&self, request: Fingerprint, now: Duration) -> Disposition {
        let Some(strikes) = self.strikes.get(&request) else {
            return Disposition::Clear;
        };
        let is_current = |at: Duration| now.saturating_sub(at) < self.options.lifetime;
        match strikes.iter().filter(|(_, at)| is_current(*at)).count() {
            0 => Disposition::Clear,
            n if n >= self.options.refusal_threshold => Disposition::Refused,
            n if n >= self.options.isolation_threshold => Disposition::Isolated,
            _ => Disposition::Struck,
        }
    }

    /// The requests that are refused at `now`, and their strikes with the time of each.
    pub fn refused(
        &self,
        now: Duration,
    ) -> impl Iterator<Item = (Fingerprint, &[(Crash, Duration)])> {
        let is_refused =
            move |request: Fingerprint| self.disposition(request, now) == Disposition::Refused;
        let strikes = self.strikes.iter().filter(move |(request, _)| is_refused(**request));
        strikes.map(|(request, strikes)| (*request, &**strikes))
    }

    /// How long a strike counts.
    pub fn lifetime(&self) -> Duration {
        self.options.lifetime
    }

    /// Number of fingerprints kept.
    pub fn len(&self) -> usize {
        self.strikes.len()
    }

    /// Whether no fingerprint is kept.
    pub fn is_empty(&self) -> bool {
        self.strikes.is_empty()
    }

    /// Drops strikes if [`Options::max_fingerprints`] is reached, expired ones first.
    fn make_room(&mut self, now: Duration) {
        if self.strikes.len() < self.options.max_fingerprints {
            return;
        }
        let lifetime = self.options.lifetime;
        self.strikes.retain(|_, strikes| {
            strikes.retain(|(_, at)| now.saturating_sub(*at) < lifetime);
            !strikes.is_empty()
        });
        // Requests with a single strike go first, as one strike is the weakest evidence.
        if self.strikes.len() >= self.options.max_fingerprints {
            self.strikes.retain(|_, strikes| strikes.len() > 1);
        }
    }
}
