//! Load of model engines, and the choice between engines for a run or for a copy of its KV cache.
//!
//! An engine reports its queue, its runs and the KV cache in use. The tokens in use do not include
//! what queued requests and the growth of runs will take; [`Load::committed_tokens()`] adds these.
//! [`forecast()`] derives the time to the first event and a cost that orders engines. Both are in
//! units of the time in which an engine prefills one mean prompt of the service; [`Typical`] holds
//! the means.

mod spread;
mod typical;

pub use typical::Typical;

/// Engines that a further round asks for their load.
pub const FURTHER_CANDIDATES: usize = 8;
/// Number of prompts at an engine from which on another one counts as queued. A single prompt is
/// in prefill, and half done on average.
const QUEUE: u32 = 2;
/// Mean requests for which KV cache stays free when a run of the least urgent rank starts: one more
/// urgent run and one copy.
const RESERVED_REQUESTS: f64 = 2.0;
/// Further rounds that one placement may take.
const MAX_FURTHER_ROUNDS: u32 = 2;
/// Cost of a run in the decode phase, relative to one in the prefill phase.
const DECODE_COST: f64 = 0.8;
/// What a wholly cached prompt takes off the cost of a run, relative to a run in the prefill
/// phase. More than the phase itself, because the caller has already waited for it once.
const CACHE_GAIN: f64 = 3.0;
/// Cost that an engine in another data centre adds, relative to a run in the prefill phase.
const REMOTE_COST: f64 = 0.15;
/// Cost that a lack of free KV cache adds: so high that such an engine is chosen last.
const NO_ROOM_COST: f64 = 100.0;

/// A run that has yielded an event, as its engine reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Run {
    /// Tokens in the KV cache.
    pub tokens: u64,
    /// Events that were sent.
    pub events: u64,
    /// Priority level; 0 is the most urgent.
    pub level: u8,
}

/// Load of one engine, and what is known of it beyond its report.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load<'a> {
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of running requests, including those in prefill.
    pub running: u32,
    /// Number of running requests without an event yet.
    pub prefilling: u32,
    /// KV cache in use that cannot be freed, in tokens.
    pub used_tokens: u64,
    /// KV cache capacity, in tokens; zero if it is not known.
    pub total_tokens: u64,
    /// Tokens of the first queued request, if stated.
    pub next_tokens: Option<u64>,
    /// Number of copies of other engines' runs.
    pub copies: u32,
    /// Runs that have yielded an event.
    pub runs: &'a [Run],
    /// Number of requests sent by this daemon that have not yielded an event.
    pub starting: u32,
}

/// What is known of a service's engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Service {
    /// Number of requests that an engine runs at once; zero if it is not known.
    pub slots: u32,
    /// Tokens in one event.
    pub stride: f64,
    /// Averages over the requests.
    pub typical: Typical,
}

impl Service {
    /// Share of a mean answer that a run has still to yield.
    fn share_left(&self, run: &Run) -> f64 {
        let made = run.events as f64 * self.stride;
        (1.0 - made / self.typical.answer_tokens().max(1.0)).max(0.0)
    }
}

impl Default for Service {
    fn default() -> Self {
        Self { slots: 0, stride: 1.0, typical: Typical::default() }
    }
}

/// The run to be placed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// KV cache that it needs until its end, in tokens.
    pub tokens: u64,
    /// Size of its prompt in mean prompts.
    pub prompt_units: f64,
    /// Its priority level; `None` if all requests of the service have the same.
    pub level: Option<u8>,
}

/// Where an engine is, how fast it is, and what it has of the prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Position {
    /// Whether the engine is in the daemon's data centre.
    pub is_local: bool,
    /// Time that the engine takes for the same work, relative to a typical engine.
    pub slowness: f64,
    /// Share of the prompt that the engine has cached, 0 to 1.
    pub cached: f64,
}

/// What a request has to expect at one engine. Times are in units of one mean prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    /// Time to the first event.
    pub first_event: f64,
    /// The same without the queued requests that are less urgent.
    pub urgent_first_event: f64,
    /// Expected time to the end, with surcharges for distance and a lack of KV cache; the least is
    /// best.
    pub cost: f64,
    /// Prompts at the engine, queued or in prefill.
    pub prompts: u32,
    /// Time to the first event if the engine had no other request.
    pub unloaded: f64,
    /// Number of mean requests for which KV cache stays uncommitted beside the run; negative if the
    /// run has no room.
    pub spare_runs: f64,
    /// Whether the engine has KV cache that is not committed for the whole run.
    pub has_room: bool,
    /// Whether the run can start without queueing behind other prompts.
    pub is_open: bool,
}

impl Load<'_> {
    /// Prompts that are queued or in prefill. A report may be too old to include those that this
    /// daemon has sent; its queue is taken to be that of other daemons.
    pub fn prompts(&self) -> u32 {
        self.prefilling.max(self.starting).saturating_add(self.waiting)
    }

    /// KV cache that the engine's requests will have taken when each has reached its end.
    pub fn committed_tokens(&self, service: &Service) -> f64 {
        let mean = service.typical.total_tokens();
        let shares_left: f64 = self.runs.iter().map(|run| service.share_left(run)).sum();
        let growth = shares_left * service.typical.answer_tokens();
        let first = self.next_tokens.map_or(mean, |tokens| tokens as f64);
        let queued = match self.waiting {
            0 => 0.0,
            waiting => first + f64::from(waiting - 1) * mean,
        };
        let in_prefill = f64::from(self.prefilling) * mean - self.prefill_tokens(mean);
        let unreported = f64::from(self.starting.saturating_sub(self.prefilling)) * mean;
        self.used_tokens as f64 + growth + queued + in_prefill + unreported
    }

    /// Tokens in use that runs in prefill hold: those of no other run and no copy. A copy
    /// counts with the size of a mean request.
    fn prefill_tokens(&self, mean: f64) -> f64 {
        let of_runs: u64 = self.runs.iter().map(|run| run.tokens).sum();
        let held = self.used_tokens.saturating_sub(of_runs) as f64;
        (held - f64::from(self.copies) * mean).clamp(0.0, f64::from(self.prefilling) * mean)
    }

    /// KV cache that is neither in use nor committed; negative if more is committed than there is.
    pub fn uncommitted_tokens(&self, service: &Service) -> f64 {
        self.total_tokens as f64 - self.committed_tokens(service)
    }

    /// Mean requests for which KV cache stays uncommitted beside a run that needs `tokens`.
    fn spare_runs(&self, tokens: u64, service: &Service) -> f64 {
        if self.total_tokens == 0 {
            return f64::INFINITY;
        }
        let spare = self.uncommitted_tokens(service) - tokens as f64;
        spare / service.typical.total_tokens().max(1.0)
    }

    /// KV cache that a run that needs `tokens` lacks. A run that exceeds the capacity fits nowhere,
    /// which says nothing about the load.
    fn lacking_tokens(&self, tokens: u64, service: &Service) -> f64 {
        if self.total_tokens == 0 {
            return 0.0;
        }
        let needed = tokens.min(self.total_tokens) as f64;
        (needed - self.uncommitted_tokens(service)).max(0.0)
    }

    /// Slots that have to become free before another request can run.
    fn lacking_slots(&self, service: &Service) -> u32 {
        let held = self.running.saturating_add(self.waiting);
        if service.slots == 0 { 0 } else { held.saturating_add(1).saturating_sub(service.slots) }
    }

    /// The load without the requests that are less urgent than `level`: the engine puts those that
    /// are queued behind, and preempts those that run. A report does not tell the levels of queued
    /// requests; they are assumed to be distributed as those of the runs, and to be less urgent if there
    /// is no run: a request is not refused because of others that it may pass.
    fn as_urgent_as(&self, level: Option<u8>) -> Self {
        let Some(level) = level else { return *self };
        let (ahead, behind): (Vec<&Run>, Vec<&Run>) =
            self.runs.iter().partition(|run| run.level <= level);
        let share = ahead.len() as f64 / self.runs.len().max(1) as f64;
        let preempted: u64 = behind.iter().map(|run| run.tokens).sum();
        Self {
            waiting: (f64::from(self.waiting) * share).ceil() as u32,
            running: self.running.saturating_sub(u32::try_from(behind.len()).unwrap_or(u32::MAX)),
            used_tokens: self.used_tokens.saturating_sub(preempted),
            ..*self
        }
    }

    /// Time until a run that needs `tokens` can enter prefill, in mean prompts.
    fn wait(&self, tokens: u64, service: &Service) -> f64 {
        let (tokens, slots) = (self.lacking_tokens(tokens, service), self.lacking_slots(service));
        f64::from(self.prompts()).max(self.release_time(tokens, slots, service))
    }

    /// Time until enough runs have ended to free `tokens` and `slots`, in mean prompts.
    fn release_time(&self, tokens: f64, slots: u32, service: &Service) -> f64 {
        if tokens <= 0.0 && slots == 0 {
            return 0.0;
        }
        let typical = &service.typical;
        let mut runs: Vec<(f64, &Run)> =
            self.runs.iter().map(|run| (service.share_left(run), run)).collect();
        runs.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut freed = 0.0;
        for (count, (share_left, run)) in (1..).zip(runs) {
            freed += run.tokens as f64 + share_left * typical.answer_tokens();
            if freed >= tokens && count >= slots {
                return share_left * typical.answer_units();
            }
        }
        // Requests that are still queued have to end, too.
        typical.answer_units() + (tokens - freed).max(0.0) / typical.total_tokens().max(1.0)
    }
}

/// What `request` has to expect at an engine with this load.
pub fn forecast(
    load: &Load<'_>,
    request: &Request,
    position: Position,
    service: &Service,
) -> Forecast {
    let has_room = load.lacking_tokens(request.tokens, service) <= 0.0;
    let has_slot = load.lacking_slots(service) == 0;
    let wait = load.wait(request.tokens, service);
    let urgent_wait = load.as_urgent_as(request.level).wait(request.tokens, service);
    let own_prefill = request.prompt_units * (1.0 - position.cached);
    let decoding = f64::from(load.running.saturating_sub(load.prefilling));
    let work =
        wait + request.prompt_units + decoding * DECODE_COST + service.typical.answer_units();
    let room_cost = if has_room { 0.0 } else { NO_ROOM_COST };
    let remote_cost = if position.is_local { 0.0 } else { REMOTE_COST };
    Forecast {
        first_event: (wait + own_prefill) * position.slowness,
        urgent_first_event: (urgent_wait + own_prefill) * position.slowness,
        cost: work * position.slowness + remote_cost + room_cost - position.cached * CACHE_GAIN,
        unloaded: own_prefill * position.slowness,
        spare_runs: load.spare_runs(request.tokens, service),
        prompts: load.prompts(),
        has_room,
        is_open: load.prompts() < QUEUE && has_slot && has_room,
    }
}

/// Whether a run of the least urgent rank may start at the engine: without queueing, and with KV
/// cache left for a more urgent run and a copy. Without that, later runs preempt others or have no
/// copy.
pub fn has_reserve(forecast: &Forecast) -> bool {
    forecast.is_open && forecast.spare_runs >= RESERVED_REQUESTS
}

/// Whether a further round of candidates is worth its reports, after `further` such rounds.
///
/// `best` has the least cost of `all`.
pub fn needs_further_round(best: &Forecast, all: &[Forecast], further: u32) -> bool {
    match further {
        0 => !best.is_open,
        _ => further < MAX_FURTHER_ROUNDS && all.iter().all(|forecast| !forecast.is_open),
    }
}

/// Order in which engines are drawn at random in proportion to their speed: the least comes
/// first. `random` is uniform between 0 and 1.
pub fn draw_order(random: f64, slowness: f64) -> f64 {
    -random.max(f64::MIN_POSITIVE).ln() * slowness
}

/// The engine that is to hold the copy of a run: the one with the most uncommitted KV cache
/// among those with at least `room`. `None` if there is none.
pub fn choose_holder<T>(engines: impl Iterator<Item = (T, f64)>, room: u64) -> Option<T> {
    let with_room = engines.filter(|(_, uncommitted)| *uncommitted >= room as f64);
    with_room.max_by(|a, b| a.1.total_cmp(&b.1)).map(|(engine, _)| engine)
}
