//! Decides the route, service, team and cohort of a request, or the code with which it is refused.

use winch_move::evidence::Cohort;
use winch_route::{quarantine::Part, suspect::Disposition};

use crate::{
    config::{Route, Semantics, Team},
    counter,
    job::{Job, Sends},
    node::Node,
    prelude::*,
    priority::Priority,
    strikes, unary,
};

/// Share of a route's target latency after which callers return that a stopping daemon refuses: the
/// answer may then still begin in time.
const RETURN_SHARE: f64 = 0.4;

/// Who has sent a request to this daemon.
#[derive(Clone, Copy, Debug)]
pub(super) enum Origin {
    /// A caller.
    Caller,
    /// Another daemon, with what it tells of the sends.
    Daemon { sends: Sends },
}

/// What the configuration assigns to a request.
pub(super) struct Admitted {
    route: Arc<Route>,
    version: u64,
    service: Name,
    team: Option<Arc<Team>>,
    priority: Priority,
    cohort: Cohort,
    shared_parts: Arc<[Part]>,
    is_trial: bool,
}

impl Admitted {
    /// The job that carries the request out; messages pass through this daemon within
    /// `passing_time`.
    pub(super) fn into_job(self, call: Call, origin: Origin, passing_time: Duration) -> Job {
        let Self { route, version, service, team, priority, cohort, shared_parts, is_trial } = self;
        let is_forwarded = matches!(origin, Origin::Daemon { .. });
        let max_sends = match origin {
            Origin::Daemon { sends } => sends.limit(route.max_attempts),
            Origin::Caller => route.max_attempts,
        };
        let reply_deadline = call.reply_deadline(route.timeout, passing_time);
        Job {
            call,
            route,
            version,
            service,
            team,
            priority,
            shared_parts,
            is_trial,
            is_forwarded,
            max_sends,
            reply_deadline,
            cohort,
        }
    }
}

/// The refusal of a request that was not sent to a replica.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refusal {
    pub(super) code: Code,
    /// How long the caller should wait before it sends the request again.
    pub(super) retry_after: Option<Duration>,
}

impl From<Code> for Refusal {
    fn from(code: Code) -> Self {
        Self { code, retry_after: unary::retry_after(code) }
    }
}

/// Finds the route, service, team and cohort of a request.
///
/// # Errors
/// The refusal of the request.
pub(super) fn admit<P: Protocol>(
    node: &Node<P>,
    call: &Call,
    origin: Origin,
) -> Result<Admitted, Refusal> {
    let config = node.config().ok_or(Code::NoConfig)?;
    let route = config.route(&call.host, call.path()).cloned().ok_or(Code::NoRoute)?;
    let team = call.api_key.as_deref().and_then(|key| config.team(key)).cloned();
    if team.is_none() && config.needs_key(&route) {
        return Err(Code::UnknownKey.into());
    }
    let service = route.pick(&mut node.rng()).clone();
    if node.is_stopping() && stops_too_early(node, call, &route, &service) {
        return Err(refuse_stopping(call, &route));
    }
    if is_quarantined(node, call, team.as_deref()) {
        return Err(Code::Suspect.into());
    }
    if matches!(origin, Origin::Daemon { .. }) && node.is_isolated(&service) {
        return Err(Code::NoReplica.into());
    }
    let shared_parts = strikes::shared_parts(call, &service);
    let is_trial = check_parts(node, &shared_parts)?;
    node.earn_retry(&service);
    node.catalog().record_demand(&service, Instant::now());
    let cohort = node.draw_cohort(&service);
    let priority = config.priority(&service, &route, team.as_deref());
    let version = config.version;
    Ok(Admitted { route, version, service, team, priority, cohort, shared_parts, is_trial })
}

/// The refusal of a request that would outlast this daemon. Daemons are replaced one after the other,
/// so a caller that returned at once would be sent to one that is just stopping, too. One that has
/// little time left returns while it has.
fn refuse_stopping(call: &Call, route: &Route) -> Refusal {
    let refusal = Refusal::from(Code::Stopping);
    let left = call.deadline(route.timeout).saturating_duration_since(Instant::now());
    let return_time = route.target_latency.min(left).mul_f64(RETURN_SHARE);
    Refusal { retry_after: refusal.retry_after.max(Some(return_time)), ..refusal }
}

/// Whether a stopping daemon could end before a request does. Streams that are taken end in time if
/// they last no longer than nearly all that ended lately.
fn stops_too_early<P: Protocol>(
    node: &Node<P>,
    call: &Call,
    route: &Route,
    service: &Name,
) -> bool {
    if !matches!(route.semantics, Semantics::Stream { .. }) {
        return node.stops_before(call.deadline(route.timeout));
    }
    let (prompt, answer) = call.stated_tokens();
    let longest_time = node.catalog().typical(service).longest_time(prompt, answer);
    let is_refused = node.stops_before_stream(longest_time);
    counter::stream_while_stopping(if is_refused { "refused" } else { "taken" });
    is_refused
}

/// Checks that a prompt does not hold a quarantined group of parts; true if it does, and the request
/// is its trial. Only daemons that read the store for others try them: these are few in any fleet.
///
/// # Errors
/// The code with which the request is refused.
fn check_parts<P: Protocol>(node: &Node<P>, shared_parts: &[Part]) -> Result<bool, Code> {
    let now = Instant::now();
    let mut strikes = node.strikes();
    let Some(quarantined) = strikes.find_quarantined(shared_parts, now) else { return Ok(false) };
    let is_trial = node.serves() && node.reads_store() && strikes.start_trial(&quarantined, now);
    if is_trial { Ok(true) } else { Err(Code::SuspectPart) }
}

/// Whether a request is refused because it has crashed several replicas.
fn is_quarantined<P: Protocol>(node: &Node<P>, call: &Call, team: Option<&Team>) -> bool {
    let strikes = node.strikes();
    // Hashing the request is skipped in the common case without strikes.
    !strikes.is_empty() && {
        let request = strikes::fingerprint(call, team.map(|team| &team.name));
        strikes.disposition(request, &[], Instant::now()) == Disposition::Refused
    }
}

/// Logs that a request was refused before it was sent to a replica.
pub(super) fn log_refusal<P: Protocol>(node: &Node<P>, call: &Call, code: Code) {
    emit!(
        Event::RequestRefused,
        request = call.label(),
        result = code.name(),
        host = call.host,
        path = call.path(),
        stopping_ms =
            node.stopping_time().map_or("-".to_owned(), |time| time.as_millis().to_string()),
        key = if call.api_key.is_some() { "given" } else { "none" },
        version = node.config().map_or(0, |config| config.version),
        age_ms = node.state_age_ms().map_or("-".to_owned(), |age| age.to_string())
    );
}
