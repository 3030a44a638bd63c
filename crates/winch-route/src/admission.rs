//! Admission: bounded waiting, shared fairly between teams.
//!
//! Start-time fair queueing (Goyal, Vin, Cheng 1996) between teams; within a
//! team the call whose caller gives up first goes first, so that a long wait
//! raises a call's rank. What cannot start in time is refused at once.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use snafu::{Snafu, ensure};

use crate::urgency::Urgency;

/// Number of a waiting call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(pub u64);

/// Limits of a gate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Most calls that wait in all.
    pub max_waiting: usize,
    /// Largest part of the waiting places that one team may hold.
    pub max_team_share: f64,
    /// Starts per second assumed until some were seen.
    pub initial_rate: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self { max_waiting: 1_024, max_team_share: 0.5, initial_rate: 10.0 }
    }
}

/// Why a call was refused; it did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Refusal {
    /// All waiting places are taken.
    #[snafu(display("too many calls wait"))]
    Crowded {
        /// When trying again is worthwhile.
        retry_after: Duration,
    },
    /// The team holds its share of the waiting places.
    #[snafu(display("the team has too many calls waiting"))]
    TeamCrowded {
        /// When trying again is worthwhile.
        retry_after: Duration,
    },
    /// It would not start while its caller waits.
    #[snafu(display("it would not start in time"))]
    TooLate {
        /// When trying again is worthwhile.
        retry_after: Duration,
    },
}

impl Refusal {
    /// When trying again is worthwhile.
    pub fn retry_after(&self) -> Duration {
        match self {
            Self::Crowded { retry_after }
            | Self::TeamCrowded { retry_after }
            | Self::TooLate { retry_after } => *retry_after,
        }
    }
}

/// A call that arrives.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The caller's team.
    pub team: Arc<str>,
    /// The team's weight; never zero.
    pub weight: u32,
    /// The call's class.
    pub urgency: Urgency,
    /// Longest wait of its caller.
    pub wait: Duration,
}

#[derive(Debug, Default)]
struct Team {
    finish: f64,
    waiting: BTreeMap<(Duration, WaiterId), Urgency>,
    weight: f64,
}

/// The waiting calls of one version or service.
#[derive(Debug)]
pub struct Queue {
    options: Options,
    teams: HashMap<Arc<str>, Team>,
    waiting: usize,
    clock: f64,
    next: u64,
    rate: f64,
    last_start: Option<Duration>,
}

impl Queue {
    /// An empty gate.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            teams: HashMap::new(),
            waiting: 0,
            clock: 0.0,
            next: 0,
            rate: options.initial_rate,
            last_start: None,
        }
    }

    /// Number of waiting calls.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Lets a call wait. A caller with room upstream calls [`Queue::start_next`] next.
    ///
    /// # Errors
    /// A [`Refusal`]; the call was not run.
    pub fn enqueue(&mut self, arrival: &Arrival, now: Duration) -> Result<WaiterId, Refusal> {
        let retry_after = self.expected_wait(arrival).max(Duration::from_secs(1));
        ensure!(self.waiting < self.options.max_waiting, CrowdedSnafu { retry_after });
        let share = (self.options.max_waiting as f64 * self.options.max_team_share).ceil() as usize;
        let held = self.teams.get(&arrival.team).map_or(0, |team| team.waiting.len());
        ensure!(held < share.max(1), TeamCrowdedSnafu { retry_after });
        let late = self.waiting > 0 && self.expected_wait(arrival) > arrival.wait;
        ensure!(!late, TooLateSnafu { retry_after });
        let ticket = WaiterId(self.next);
        self.next += 1;
        let team = self.teams.entry(arrival.team.clone()).or_default();
        if team.waiting.is_empty() {
            team.finish = team.finish.max(self.clock);
        }
        team.weight = f64::from(arrival.weight.max(1));
        team.waiting.insert((now + arrival.wait, ticket), arrival.urgency);
        self.waiting += 1;
        Ok(ticket)
    }

    /// Wait that an arrival meets when every waiting team takes its fair turn.
    fn expected_wait(&self, arrival: &Arrival) -> Duration {
        let weight = f64::from(arrival.weight.max(1));
        let own = self.teams.get(&arrival.team).map_or(0, |team| team.waiting.len()) as f64 + 1.0;
        let rounds = own / weight;
        let others = self.teams.iter().filter(|(name, _)| **name != arrival.team);
        let ahead: f64 =
            others.map(|(_, team)| (team.waiting.len() as f64).min(rounds * team.weight)).sum();
        Duration::from_secs_f64((own + ahead) / self.rate.max(0.01))
    }

    /// The call that starts next, now that there is room for one.
    pub fn start_next(&mut self, now: Duration) -> Option<WaiterId> {
        let name = self
            .teams
            .iter()
            .filter(|(_, team)| !team.waiting.is_empty())
            .min_by(|a, b| a.1.finish.total_cmp(&b.1.finish).then_with(|| a.0.cmp(b.0)))?
            .0
            .clone();
        let team = self.teams.get_mut(&name)?;
        let ((_, ticket), _) = team.waiting.pop_first()?;
        self.clock = team.finish;
        team.finish += 1.0 / team.weight;
        self.waiting -= 1;
        self.count_start(now);
        self.forget_idle();
        Some(ticket)
    }

    /// Puts a started call back, because its room was gone after all.
    pub fn put_back(&mut self, ticket: WaiterId, arrival: &Arrival, deadline: Duration) {
        let team = self.teams.entry(arrival.team.clone()).or_default();
        team.weight = f64::from(arrival.weight.max(1));
        team.finish = (team.finish.max(self.clock) - 1.0 / team.weight).max(0.0);
        team.waiting.insert((deadline, ticket), arrival.urgency);
        self.waiting += 1;
    }

    /// Takes a call out, such as one whose caller left.
    pub fn remove(&mut self, ticket: WaiterId) -> bool {
        let held = self.teams.values_mut().find_map(|team| {
            let place = team.waiting.keys().find(|(_, other)| *other == ticket).copied()?;
            team.waiting.remove(&place)
        });
        self.waiting -= usize::from(held.is_some());
        self.forget_idle();
        held.is_some()
    }

    /// Takes out the calls whose callers no longer wait.
    pub fn expire(&mut self, now: Duration) -> Vec<WaiterId> {
        let mut expired = Vec::new();
        for team in self.teams.values_mut() {
            while let Some(entry) = team.waiting.first_entry().filter(|e| e.key().0 <= now) {
                expired.push(entry.key().1);
                entry.remove();
            }
        }
        self.waiting -= expired.len();
        self.forget_idle();
        expired
    }

    fn count_start(&mut self, now: Duration) {
        const WEIGHT: f64 = 0.1;
        if let Some(last) = self.last_start.filter(|_| self.waiting > 0) {
            let gap = now.saturating_sub(last).as_secs_f64().max(0.000_1);
            let mean = 1.0 / self.rate;
            self.rate = 1.0 / (mean + WEIGHT * (gap - mean));
        }
        self.last_start = Some(now);
    }

    /// Drops teams that wait for nothing and owe nothing.
    fn forget_idle(&mut self) {
        let clock = self.clock;
        self.teams.retain(|_, team| !team.waiting.is_empty() || team.finish > clock);
    }
}
