//! Passes a stream on to other daemons while this one reaches no replica.

use std::net::SocketAddr;

use http::StatusCode;
use tokio::{io::AsyncWrite, time::sleep_until};
use winch_http::{client::Connection, head::Reply};

use super::{
    Session,
    run::{End, Read, read_events},
};
use crate::{
    forward::{self, Reached},
    job::{Outcome, Sends},
    memory::{self, Reservation},
    prelude::*,
    respond::Progress,
    sse::Splitter,
};

/// Largest body of a reply that is not a stream.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Time before the daemons are asked again to take a stream that has begun; it doubles up to
/// [`BACKOFF_MAX`].
const BACKOFF_MIN: Duration = Duration::from_millis(200);
/// Longest time before the daemons are asked again.
const BACKOFF_MAX: Duration = Duration::from_millis(800);

/// How a stream ended at another daemon.
enum Forwarded {
    Ended(Outcome),
    /// It has not run there.
    NotTaken,
    /// It broke off, and may go on elsewhere.
    Broken,
}

impl Forwarded {
    /// How the stream ended, as the log names it.
    fn result(&self) -> &str {
        match self {
            Self::Ended(outcome) => outcome.result(),
            Self::NotTaken => "not taken",
            Self::Broken => forward::BROKEN,
        }
    }
}

impl<P: Protocol, W: AsyncWrite + Unpin> Session<'_, P, W> {
    /// Passes the stream on to other daemons; `None` if none takes it.
    ///
    /// A stream that has not begun is refused then. One that has begun asks again until its
    /// deadline, or until this daemon reaches its service itself.
    pub(super) async fn forward(&mut self) -> Option<Outcome> {
        self.trace.was_forwarded = true;
        let mut backoff = BACKOFF_MIN;
        loop {
            if let Some(outcome) = self.forward_once().await {
                return Some(outcome);
            }
            let ask_at = Instant::now() + backoff;
            let may_ask = self.counted_sends() < self.job.route.max_attempts
                && ask_at < self.job.deadline(self.node)
                && !forward::candidates(self.node).is_empty()
                && self.node.is_isolated(&self.job.service);
            if !self.has_begun() || !may_ask {
                return None;
            }
            sleep_until(ask_at).await;
            backoff = (backoff * 2).min(BACKOFF_MAX);
        }
    }

    /// Asks several daemons, one after the other, to take the stream; `None` if none takes it.
    async fn forward_once(&mut self) -> Option<Outcome> {
        let (node, job) = (self.node, self.job);
        for daemon in forward::candidates(self.node) {
            if self.counted_sends() >= self.job.route.max_attempts {
                break;
            }
            let forwarded = job.until_deadline(node, self.forward_to(daemon)).await;
            let Some(forwarded) = forwarded else {
                self.trace.interrupt("deadline exceeded");
                return Some(self.give_up(Code::TimedOut));
            };
            match forwarded {
                Forwarded::Ended(outcome) => return Some(outcome),
                Forwarded::NotTaken => {}
                Forwarded::Broken => {
                    self.trace.sends += 1;
                    if !self.job.route.semantics.may_repeat() {
                        return Some(self.give_up(Code::Broken));
                    }
                }
            }
        }
        None
    }

    async fn forward_to(&mut self, daemon: SocketAddr) -> Forwarded {
        self.trace.pending = Some(daemon.to_string());
        self.trace.begin_run();
        let (node, job) = (self.node, self.job);
        let sends = Sends { made: self.counted_sends(), max: None };
        let deadline = self.forwarded_deadline();
        let (deliveries, last_event) = (self.trace.deliveries(), self.last_event);
        let reached =
            forward::send(node, job, &deliveries, sends, last_event, deadline, daemon).await;
        let is_reply = matches!(reached, Reached::Reply(..));
        if !is_reply {
            self.trace.record_end(&daemon.to_string(), reached.result());
        }
        let forwarded = self.take_reached(reached).await;
        if is_reply {
            self.trace.record_end(&daemon.to_string(), forwarded.result());
        }
        forwarded
    }

    /// Takes what another daemon answered.
    async fn take_reached(&mut self, reached: Reached) -> Forwarded {
        match reached {
            Reached::NotTaken(_) => Forwarded::NotTaken,
            Reached::Broken => Forwarded::Broken,
            // It has not run, and another daemon may reach a replica that goes on with it.
            Reached::Error {
                code: Code::Refused | Code::NoBudget | Code::Limited | Code::Overloaded,
                ..
            } if self.has_begun() => Forwarded::NotTaken,
            Reached::Error { code, .. } => Forwarded::Ended(self.give_up(code)),
            Reached::Reply(reply, connection) => self.forward_reply(reply, connection).await,
        }
    }

    /// The deadline that another daemon is told.
    fn forwarded_deadline(&self) -> Instant {
        // The edge sees to it that a stream which has not begun gets its reply earlier.
        if !self.has_begun() {
            return self.job.call.deadline(self.job.route.timeout);
        }
        // This daemon ends a stream that has begun, since only it knows whether it is prolonged.
        self.job.caller_deadline().unwrap_or_else(|| self.job.deadline(self.node))
    }

    /// Whether the reply to the caller has begun, so that an error can no longer take its place.
    fn has_begun(&self) -> bool {
        self.out.progress() != Progress::Waiting
    }

    async fn forward_reply(&mut self, reply: Reply, mut connection: Box<Connection>) -> Forwarded {
        if reply.status.is_success() {
            if !self.has_begun() {
                self.out.begin_stream(StatusCode::OK, reply.headers);
            }
            return self.forward_all(&mut connection).await;
        }
        if self.has_begun() {
            return Forwarded::Ended(self.give_up(Code::Broken));
        }
        match memory::read_body(&mut connection, &self.node.body_blocks, MAX_BODY_BYTES).await {
            Ok(body) => Forwarded::Ended(Outcome::Answer { reply, body }),
            Err(_) => Forwarded::Broken,
        }
    }

    /// Forwards the events on `connection` until the stream ends or breaks off.
    async fn forward_all(&mut self, connection: &mut Connection) -> Forwarded {
        let mut splitter = Splitter::default();
        let mut reservation = Reservation::new(&self.node.body_blocks);
        loop {
            let Read { events, end } =
                read_events(connection, &mut splitter, &mut reservation, self.last_event).await;
            let had_forwarded = self.has_forwarded;
            if self.buffer_events(events) {
                self.has_forwarded = true;
                self.trace.record_event(Instant::now());
            }
            if self.has_forwarded && !had_forwarded {
                crate::counter::first_event(self.job.call.received_at.elapsed());
            }
            if self.has_forwarded && self.out.flush().await.is_err() {
                return Forwarded::Ended(Outcome::CallerGone);
            }
            match end {
                None => {}
                Some(End::Complete) => {
                    let ended = self.out.end_stream().await;
                    let outcome = ended.map_or(Outcome::CallerGone, |()| Outcome::Streamed);
                    return Forwarded::Ended(outcome);
                }
                Some(End::Failed(_)) => return Forwarded::Broken,
            }
        }
    }
}
