//! Passes requests on to other daemons while this one reaches no replica of their service.
//!
//! A request is forwarded once at most: the daemon that takes it serves it itself or refuses it. It
//! carries the caller's request with the time that is left and the number of sends, so that deadline
//! and attempts hold across both daemons. A daemon takes no more than it has room for.

mod running;

use std::{net::SocketAddr, num::NonZeroU32};

use futures_util::stream::{FuturesUnordered, StreamExt};
use http::HeaderName;
use rand::seq::SliceRandom;
use tokio::time::{sleep_until, timeout, timeout_at};
use winch_http::{client::Connection, head::Reply};

pub use self::running::{Running, RunningGuard};
use crate::{
    counter,
    delivery::Deliveries,
    exchange::{CallReply, ForwardedReply},
    job::{Job, Outcome, Sends},
    memory,
    node::Node,
    peer,
    prelude::*,
    replica,
    trace::Trace,
};

/// Header of a reply to a forwarded request that the daemon itself made: its result code.
pub const CODE: HeaderName = HeaderName::from_static("winch-code");

/// Header of a complete reply to a forwarded request whose sends were limited: how often it was sent
/// to replicas, with those of the daemon that passed it on.
pub const SENDS: HeaderName = HeaderName::from_static("winch-sends");

/// Header of a reply to a forwarded request that a replica made: the replica's id.
pub const REPLICA: HeaderName = HeaderName::from_static("winch-replica");

/// Number of daemons that are asked to take a request.
const MAX_DAEMONS: usize = 4;
/// Timeout for opening a connection to another daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Share of the time left after which another daemon is asked for a lookup.
const MAX_ATTEMPT_SHARE: f64 = 0.5;
/// Result of a daemon whose connection broke.
pub(crate) const BROKEN: &str = "connection broken";
/// Largest body of a reply.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

impl Job {
    /// Whether the request is to be forwarded: this daemon reaches no replica of its service, and
    /// no daemon has refused or forwarded it yet.
    pub fn needs_forwarding<P: Protocol>(&self, node: &Node<P>, trace: &Trace) -> bool {
        !self.is_forwarded && !trace.was_forwarded && node.is_isolated(&self.service)
    }
}

/// Whether a request that found no replica is to be forwarded in the end. Waits until it is clear
/// whether this daemon reaches its service.
pub async fn is_last_resort<P: Protocol>(node: &Node<P>, job: &Job, trace: &Trace) -> bool {
    if job.is_forwarded || trace.was_forwarded {
        return false;
    }
    // A deadline that passes meanwhile is found by whoever asks.
    let _ = timeout_at(job.reply_deadline, node.wait_paths_clear(&job.service)).await;
    job.needs_forwarding(node, trace)
}

/// What became of a request at another daemon.
pub enum Reached {
    /// The reply of a replica, whose body is still to be read from the connection.
    Reply(Reply, Box<Connection>),
    /// The daemon ended the request.
    Error {
        /// Why.
        code: Code,
        /// How often it was sent to replicas; `None` if the daemon does not say so.
        sends: Option<u32>,
    },
    /// The daemon did not take the request, which has not run, for this reason.
    NotTaken(&'static str),
    /// The connection broke after the request was sent; it may have run.
    Broken,
}

impl Reached {
    /// What the daemon answered, as the log names it.
    pub fn result(&self) -> String {
        match self {
            Self::Reply(reply, _) => reply.status.as_u16().to_string(),
            Self::Error { code, .. } => code.name().to_owned(),
            Self::NotTaken(reason) => (*reason).to_owned(),
            Self::Broken => BROKEN.to_owned(),
        }
    }
}

/// The daemons to ask in turn, in random order; those that refused lately come last.
pub fn candidates<P: Protocol>(node: &Node<P>) -> Vec<SocketAddr> {
    let mut daemons = node.fleet().relays().to_vec();
    daemons.extend(&node.tuning().seeds);
    daemons.retain(|daemon| *daemon != node.settings.peers);
    daemons.sort_unstable();
    daemons.dedup();
    daemons.shuffle(&mut node.rng());
    daemons.sort_by_key(|daemon| node.running.is_avoided(*daemon));
    daemons.truncate(MAX_DAEMONS);
    daemons
}

/// Sends a request to another daemon and reads the head of the reply.
///
/// `after_event` is the id of the last event that the caller has of a stream. The daemon is told
/// that the request ends at `deadline`, and how often it was and may be sent to replicas.
pub async fn send<P: Protocol>(
    node: &Node<P>,
    job: &Job,
    deliveries: &Deliveries,
    sends: Sends,
    after_event: Option<u64>,
    deadline: Instant,
    daemon: SocketAddr,
) -> Reached {
    let opened = timeout(CONNECT_TIMEOUT, peer::open_forwarding(daemon, sends)).await;
    let Ok(Ok(mut connection)) = opened else {
        node.running.avoid(daemon);
        counter::forwarded("unreachable");
        return Reached::NotTaken("unreachable");
    };
    let time_left = deadline.saturating_duration_since(Instant::now());
    let request = node.protocol.encode_forwarded(&job.call, time_left, after_event);
    let call_reply = CallReply { protocol: &node.protocol, id: job.call.id.as_ref() };
    let matcher = ForwardedReply(call_reply);
    let delivery = deliveries.begin();
    // Whoever sends a request again needs what it has earned.
    node.give_retry(&job.service);
    let method = &job.call.method;
    let Ok(reply) = delivery.exchange(&mut connection, method, &request, &matcher).await else {
        counter::forwarded("broken");
        return Reached::Broken;
    };
    match decode_code(&reply) {
        None => {
            node.apply_forwarded_reply(&reply);
            counter::forwarded("taken");
            Reached::Reply(reply, Box::new(connection))
        }
        Some(code) if is_not_taken(code) => {
            delivery.not_run();
            node.earn_retry(&job.service);
            node.running.avoid(daemon);
            counter::forwarded("refused");
            Reached::NotTaken(code.name())
        }
        Some(code) if code.may_have_run() => {
            counter::forwarded("failed");
            Reached::Error { code, sends: decode_sends(&reply) }
        }
        Some(code) => {
            delivery.not_run();
            if job.returns_retry() {
                node.earn_retry(&job.service);
            }
            counter::forwarded("not_run");
            Reached::Error { code, sends: decode_sends(&reply) }
        }
    }
}

/// Whether a daemon that answers with this code has not taken a request that another one may take.
///
/// That includes a daemon that denies the request: the one that its caller asked has admitted it, by
/// a configuration that the other one may not have yet.
fn is_not_taken(code: Code) -> bool {
    let is_unable = matches!(code, Code::NoConfig | Code::NoReplica | Code::Stopping | Code::Busy);
    is_unable || code.status().is_client_error()
}

/// The result code of a reply that a daemon made itself; `None` if a replica made it.
fn decode_code(reply: &Reply) -> Option<Code> {
    let text = reply.headers.get(CODE)?.to_str().ok()?;
    // A later release may have further codes; such a request may have run.
    Some(text.parse().ok().and_then(Code::from_number).unwrap_or(Code::Broken))
}

/// How often the request was sent to replicas; `None` if the daemon does not say so, as those of
/// earlier releases.
fn decode_sends(reply: &Reply) -> Option<u32> {
    reply.headers.get(SENDS)?.to_str().ok()?.parse().ok()
}

/// States in a reply which replica made it, for the daemon that has passed the request on.
pub fn name_replica(reply: &mut Reply, replica: &Replica) {
    match replica::encode_id(&replica.id) {
        Some(id) => drop(reply.headers.insert(REPLICA, id)),
        // Not a name that the replica may have set itself.
        None => drop(reply.headers.remove(REPLICA)),
    }
}

/// Id of the replica that has made a forwarded reply; `None` if a daemon of an earlier release
/// has passed it on.
pub fn decode_replica(reply: &Reply) -> Option<&str> {
    str::from_utf8(reply.headers.get(REPLICA)?.as_bytes()).ok()
}

/// Passes a lookup or an order on to other daemons; `None` if none takes it.
///
/// A lookup goes on to the next daemon if the replicas of one refuse or fail it, or if one is late.
/// The latter keeps it meanwhile, and the first answer counts. Each daemon is told how often it may
/// send the request: a late one does so unseen.
pub async fn relay<P: Protocol>(node: &Node<P>, job: &Job, trace: &mut Trace) -> Option<Outcome> {
    trace.was_forwarded = true;
    let may_repeat = job.route.semantics.may_repeat();
    let mut daemons = candidates(node).into_iter();
    let mut asked = FuturesUnordered::new();
    // The daemon that was asked last and when it is late, unless it is or has ended.
    let mut last = None;
    let mut code = None;
    loop {
        let can_ask = code.is_none() && asked.is_empty() || trace.sends < job.route.max_attempts;
        if last.is_none()
            && can_ask
            && let Some(daemon) = daemons.next()
        {
            last = Some((daemon, late_at(job)));
            trace.pending = Some(daemon.to_string());
            let sends = grant(job, trace.sends, daemons.len());
            // All that the daemon may do, until it says how much it has done.
            trace.sends += sends.left();
            let deliveries = trace.deliveries();
            asked.push(
                async move { (daemon, sends, ask(node, job, &deliveries, sends, daemon).await) },
            );
        }
        if asked.is_empty() {
            return code.map(Outcome::Error);
        }
        let wake_at = last.map_or(job.reply_deadline, |(_, late_at)| late_at);
        let (daemon, sends, end) = tokio::select! {
            biased;
            Some(ended) = asked.next() => ended,
            () = sleep_until(wake_at) => {
                if !may_repeat || Instant::now() >= job.reply_deadline {
                    trace.interrupt("timed out");
                    return Some(Outcome::Error(Code::TimedOut));
                }
                trace.expect_late();
                last = None;
                continue;
            }
        };
        trace.record_end(&daemon.to_string(), end.result());
        last = last.filter(|(last, _)| *last != daemon);
        trace.sends -= end.unused(sends);
        // A late daemon may still answer. One that does not say how often it has sent the request has
        // tried further replicas itself.
        let has_place = trace.sends < job.route.max_attempts && daemons.len() > 0;
        let can_go_on = !asked.is_empty() || end.states_sends() && has_place;
        match end {
            Asked::NotTaken(_) => {}
            Asked::Ended { outcome, .. } if !may_repeat => return Some(outcome),
            Asked::Broken if !may_repeat => return Some(Outcome::Error(Code::Broken)),
            Asked::Broken => code = Some(Code::Broken),
            Asked::Ended { outcome: Outcome::Error(reason), .. }
                if is_refusal(reason)
                    || !asked.is_empty()
                    || can_go_on && reason == Code::Broken =>
            {
                code = code.or(Some(reason));
            }
            Asked::Ended { outcome: Outcome::Answer { reply, body }, .. }
                if can_go_on && reply.status.is_server_error() =>
            {
                trace.error_reply = Some((reply, body));
                code = code.or(Some(Code::Broken));
            }
            Asked::Ended { outcome, .. } => return Some(outcome),
        }
    }
}

/// What a daemon is told of the sends of a request that was sent `made` times, while `daemons` more
/// may be asked. Of a lookup it leaves some sends to these.
fn grant(job: &Job, made: u32, daemons: usize) -> Sends {
    let left = job.route.max_attempts.saturating_sub(made);
    let is_shared = job.route.semantics.may_repeat() && daemons > 0;
    let granted = if is_shared { left.div_ceil(2) } else { left };
    Sends { made, max: NonZeroU32::new(made + granted) }
}

/// Whether the replicas that a daemon reaches have refused a request, so that another daemon may
/// find one that takes it.
fn is_refusal(code: Code) -> bool {
    matches!(code, Code::Refused | Code::NoBudget | Code::Limited)
}

/// When a daemon that is asked now is late: for a lookup, after a share of the time left.
fn late_at(job: &Job) -> Instant {
    let now = Instant::now();
    let share = if job.route.semantics.may_repeat() { MAX_ATTEMPT_SHARE } else { 1.0 };
    now + job.reply_deadline.saturating_duration_since(now).mul_f64(share)
}

/// How asking one daemon ended.
enum Asked {
    Ended {
        outcome: Outcome,
        /// How often the request was sent to replicas; `None` if the daemon does not say so.
        sends: Option<u32>,
    },
    /// For this reason.
    NotTaken(&'static str),
    Broken,
}

impl Asked {
    /// What the daemon answered, as the log names it.
    fn result(&self) -> String {
        match self {
            Self::Ended { outcome, .. } => outcome.result().to_owned(),
            Self::NotTaken(reason) => (*reason).to_owned(),
            Self::Broken => BROKEN.to_owned(),
        }
    }

    /// Number of sends that the daemon was granted and has not made.
    fn unused(&self, granted: Sends) -> u32 {
        match self {
            Self::NotTaken(_) => granted.left(),
            Self::Ended { sends: Some(sends), .. } => {
                granted.left().saturating_sub(sends.saturating_sub(granted.made))
            }
            Self::Ended { sends: None, .. } | Self::Broken => 0,
        }
    }

    /// Whether the daemon says how often it has sent the request.
    fn states_sends(&self) -> bool {
        matches!(self, Self::Ended { sends: Some(_), .. })
    }
}

async fn ask<P: Protocol>(
    node: &Node<P>,
    job: &Job,
    deliveries: &Deliveries,
    sends: Sends,
    daemon: SocketAddr,
) -> Asked {
    match send(node, job, deliveries, sends, None, job.reply_deadline, daemon).await {
        Reached::NotTaken(reason) => Asked::NotTaken(reason),
        Reached::Broken => Asked::Broken,
        Reached::Error { code, sends } => Asked::Ended { outcome: Outcome::Error(code), sends },
        Reached::Reply(reply, mut connection) => {
            let sends = decode_sends(&reply);
            match memory::read_body(&mut connection, &node.body_blocks, MAX_BODY_BYTES).await {
                Ok(body) => Asked::Ended { outcome: Outcome::Answer { reply, body }, sends },
                Err(_) => Asked::Broken,
            }
        }
    }
}
