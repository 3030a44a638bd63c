//! Admission queue: a bounded queue that is shared fairly between teams.
//!
//! Between teams it applies start-time fair queueing (Goyal, Vin, Cheng 1996).
//! Within a team the call with the earliest deadline goes first, so a call's
//! rank rises with the time it has waited. A call that is not expected to start
//! before its deadline is refused on arrival.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use snafu::{Snafu, ensure};

use crate::urgency::Urgency;

/// Identifies a queued call within its [`Queue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(pub u64);

/// Limits of a queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Largest number of queued calls.
    pub max_waiting: usize,
    /// Largest share of `max_waiting` that the queued calls of one team may make up.
    pub max_team_share: f64,
    /// Starts per second that are assumed until starts have been measured.
    pub initial_rate: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self { max_waiting: 1_024, max_team_share: 0.5, initial_rate: 10.0 }
    }
}

/// Why a call was refused. The call did not run and is not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Refusal {
    /// The queue is full.
    #[snafu(display("the admission queue is full"))]
    Crowded {
        /// Time after which the caller may try again.
        retry_after: Duration,
    },
    /// The team holds its full share of the queue.
    #[snafu(display("the team holds its full share of the admission queue"))]
    TeamCrowded {
        /// Time after which the caller may try again.
        retry_after: Duration,
    },
    /// The expected wait exceeds [`Arrival::max_wait`].
    #[snafu(display("the expected wait is longer than the caller waits"))]
    TooLate {
        /// Time after which the caller may try again.
        retry_after: Duration,
    },
}

impl Refusal {
    /// Time after which the caller may try again.
    pub fn retry_after(&self) -> Duration {
        match self {
            Self::Crowded { retry_after }
            | Self::TeamCrowded { retry_after }
            | Self::TooLate { retry_after } => *retry_after,
        }
    }
}

/// Properties of a new call that decide whether and where it is queued.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The caller's team.
    pub team: Arc<str>,
    /// Weight of the team in fair queueing; zero counts as one. The newest call's weight applies
    /// to all calls of the team.
    pub weight: u32,
    /// Urgency class of the call.
    pub urgency: Urgency,
    /// Longest time that the caller waits for the start.
    pub max_wait: Duration,
}

#[derive(Debug, Default)]
struct Team {
    /// Virtual finish time of the team's last started call, the start tag of its next one.
    finish_tag: f64,
    /// Queued calls by deadline.
    waiting: BTreeMap<(Duration, WaiterId), Urgency>,
    /// Weight of the team, at least one.
    weight: f64,
}

/// The queued calls of one version or service.
#[derive(Debug)]
pub struct Queue {
    options: Options,
    teams: HashMap<Arc<str>, Team>,
    /// Number of queued calls of all teams.
    waiting: usize,
    /// Start tag of the last started call.
    virtual_time: f64,
    next_waiter: u64,
    /// Starts per second, from a moving average of the gaps between starts; a gap counts if calls
    /// are still queued after it.
    start_rate: f64,
    last_start: Option<Duration>,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            teams: HashMap::new(),
            waiting: 0,
            virtual_time: 0.0,
            next_waiter: 0,
            start_rate: options.initial_rate,
            last_start: None,
        }
    }

    /// Number of queued calls.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Queues a call, which [`Queue::start_next`] starts later; returns its id.
    ///
    /// # Errors
    /// A [`Refusal`] if a limit is reached or the call would start too late.
    pub fn enqueue(&mut self, arrival: &Arrival, now: Duration) -> Result<WaiterId, Refusal> {
        let retry_after = self.expected_wait(arrival).max(Duration::from_secs(1));
        ensure!(self.waiting < self.options.max_waiting, CrowdedSnafu { retry_after });
        let team_limit =
            (self.options.max_waiting as f64 * self.options.max_team_share).ceil() as usize;
        let team_waiting = self.teams.get(&arrival.team).map_or(0, |team| team.waiting.len());
        ensure!(team_waiting < team_limit.max(1), TeamCrowdedSnafu { retry_after });
        let is_late = self.waiting > 0 && self.expected_wait(arrival) > arrival.max_wait;
        ensure!(!is_late, TooLateSnafu { retry_after });
        let waiter = WaiterId(self.next_waiter);
        self.next_waiter += 1;
        let team = self.teams.entry(arrival.team.clone()).or_default();
        if team.waiting.is_empty() {
            team.finish_tag = team.finish_tag.max(self.virtual_time);
        }
        team.weight = f64::from(arrival.weight.max(1));
        team.waiting.insert((now + arrival.max_wait, waiter), arrival.urgency);
        self.waiting += 1;
        Ok(waiter)
    }

    /// Time until a new call would start if every team is served in proportion to its weight.
    fn expected_wait(&self, arrival: &Arrival) -> Duration {
        let weight = f64::from(arrival.weight.max(1));
        let own = self.teams.get(&arrival.team).map_or(0, |team| team.waiting.len()) as f64 + 1.0;
        let rounds = own / weight;
        let others = self.teams.iter().filter(|(name, _)| **name != arrival.team);
        let ahead: f64 =
            others.map(|(_, team)| (team.waiting.len() as f64).min(rounds * team.weight)).sum();
        Duration::from_secs_f64((own + ahead) / self.start_rate.max(0.01))
    }

    /// Removes and returns the call that starts next, or `None` if none is queued.
    ///
    /// Called when an upstream has room for a call.
    pub fn start_next(&mut self, now: Duration) -> Option<WaiterId> {
        let name = self
            .teams
            .iter()
            .filter(|(_, team)| !team.waiting.is_empty())
            .min_by(|a, b| a.1.finish_tag.total_cmp(&b.1.finish_tag).then_with(|| a.0.cmp(b.0)))?
            .0
            .clone();
        let team = self.teams.get_mut(&name)?;
        let ((_, waiter), _) = team.waiting.pop_first()?;
        self.virtual_time = team.finish_tag;
        team.finish_tag += 1.0 / team.weight;
        self.waiting -= 1;
        self.count_start(now);
        self.drop_idle_teams();
        Some(waiter)
    }

    /// Queues a started call again, because no upstream has room for it any more.
    pub fn put_back(&mut self, waiter: WaiterId, arrival: &Arrival, deadline: Duration) {
        let team = self.teams.entry(arrival.team.clone()).or_default();
        team.weight = f64::from(arrival.weight.max(1));
        team.finish_tag = (team.finish_tag.max(self.virtual_time) - 1.0 / team.weight).max(0.0);
        team.waiting.insert((deadline, waiter), arrival.urgency);
        self.waiting += 1;
    }

    /// Removes a call, such as one whose caller disconnected; returns false if it is not queued.
    pub fn remove(&mut self, waiter: WaiterId) -> bool {
        let removed = self.teams.values_mut().find_map(|team| {
            let entry = team.waiting.keys().find(|(_, other)| *other == waiter).copied()?;
            team.waiting.remove(&entry)
        });
        self.waiting -= usize::from(removed.is_some());
        self.drop_idle_teams();
        removed.is_some()
    }

    /// Removes and returns the calls whose deadline has passed.
    pub fn expire(&mut self, now: Duration) -> Vec<WaiterId> {
        let mut expired = Vec::new();
        for team in self.teams.values_mut() {
            while let Some(entry) = team.waiting.first_entry().filter(|e| e.key().0 <= now) {
                expired.push(entry.key().1);
                entry.remove();
            }
        }
        self.waiting -= expired.len();
        self.drop_idle_teams();
        expired
    }

    /// Updates the start rate with the gap since the last start, if calls are still queued.
    fn count_start(&mut self, now: Duration) {
        /// Weight of the newest gap in the moving average.
        const GAP_WEIGHT: f64 = 0.1;
        if let Some(last) = self.last_start.filter(|_| self.waiting > 0) {
            let gap = now.saturating_sub(last).as_secs_f64().max(0.000_1);
            let mean = 1.0 / self.start_rate;
            self.start_rate = 1.0 / (mean + GAP_WEIGHT * (gap - mean));
        }
        self.last_start = Some(now);
    }

    /// Drops teams without queued calls whose virtual finish time has passed.
    fn drop_idle_teams(&mut self) {
        let virtual_time = self.virtual_time;
        self.teams.retain(|_, team| !team.waiting.is_empty() || team.finish_tag > virtual_time);
    }
}
