//! Starts a stream at a replica, and at another one if that does not respond.
//!
//! A replica that answers no probe may only pause, and another one may refuse, at once or from its
//! queue. So a stream keeps its place at the former one until the other one yields an event, or the
//! former one has been silent for longer than any healthy replica: meanwhile both have the request.
//! Only one of them works on it for long, since the other one loses the request as soon as the former
//! one answers a probe again.

use tokio::io::AsyncWrite;
use winch_http::client::Connection;

use super::{
    Attempt, Session, Target,
    liveness::{Leave, Silence, StartWatch},
    run::Run,
    sending::Started,
};
use crate::{counter, delivery::Delivery, prelude::*};

/// Rounds in which replicas are asked for their load for a stream whose replica has been silent for
/// longer than a pause; each asks twice as many as the one before.
const MAX_ROUNDS: u32 = 3;

/// What became of two requests, the former one and the other.
enum Race {
    /// The former one has ended so.
    Former(Result<Started, Attempt>),
    /// The other one has ended so.
    Other(Result<Started, Attempt>),
    /// The silence of the former replica has ended so.
    Probed(Silence),
}

impl<'a, P: Protocol, W: AsyncWrite + Unpin> Session<'a, P, W> {
    /// Sends the request to `target` and reads the first events of its run. If the stream starts at
    /// another replica, `target` and `run` become those of the other one.
    ///
    /// # Errors
    /// How the attempt at `target` has ended.
    pub(super) async fn start(
        &mut self,
        target: &mut Target,
        run: &mut Run<'a, P>,
        connection: Connection,
        delivery: Delivery,
    ) -> Result<Started, Attempt> {
        let mut starting = Box::pin(self.sending(target, delivery).start(connection, ignore_head));
        let mut watch = StartWatch::default();
        loop {
            let leave = tokio::select! {
                biased;
                started = &mut starting => return started,
                leave = self.abandoned_before_first_event(target, &mut watch) => leave,
            };
            if !self.keeps_place(leave) {
                counter::abandoned(leave.reason());
                if leave == Leave::Lost {
                    // A run that its replica does not know has made no copy.
                    self.take_copy();
                }
                return Err(left(leave.reason()));
            }
            let place = tokio::select! {
                biased;
                started = &mut starting => return started,
                place = self.choose_other(target, leave) => place,
            };
            let Some((other, connection)) = place else { continue };
            let delivery = self.trace.send(&other.replica);
            let other_run = Run::new(self.node, &other);
            let mut other_starting =
                Box::pin(self.sending(&other, delivery).start(connection, ignore_head));
            let race = tokio::select! {
                biased;
                started = &mut starting => Race::Former(started),
                started = &mut other_starting => Race::Other(started),
                silence = self.silence_ended(target, &mut watch) => Race::Probed(silence),
            };
            let (end, first_events) = match race {
                Race::Former(Ok(started)) => {
                    self.withdraw(target, &other, "withdrawn");
                    self.withdrawals += 1;
                    return Ok(started);
                }
                Race::Probed(Silence::Answered) => {
                    self.withdraw(target, &other, "withdrawn");
                    self.withdrawals += 1;
                    continue;
                }
                Race::Other(Err(attempt)) => {
                    self.record_failure(&other, attempt);
                    self.trace.expect(&target.replica);
                    continue;
                }
                Race::Former(Err(attempt)) => (attempt, None),
                Race::Other(Ok(started)) => (left("silent"), Some(started)),
                Race::Probed(Silence::Lost) => (left("silent"), None),
            };
            self.leave_at_start(target, end);
            self.trace.expect(&other.replica);
            self.begin_run(&other);
            (*target, *run) = (other, other_run);
            if let Some(started) = first_events {
                return Ok(started);
            }
            (starting, watch) = (other_starting, StartWatch::default());
        }
    }

    /// Whether the stream keeps its place at a replica that it is about to `leave` until another one has
    /// it. One that has begun has asked the holder of its copy before, and waits for others without a
    /// place; one that this daemon cannot serve goes on at another daemon.
    fn keeps_place(&self, leave: Leave) -> bool {
        match leave {
            Leave::Gone(_) | Leave::Lost => false,
            Leave::Silent => true,
            Leave::Unresponsive => {
                !self.has_forwarded && !self.job.needs_forwarding(self.node, self.trace)
            }
        }
    }

    /// Another replica than `target`, with a connection to it and a retry of the budget: one at which
    /// the stream can start at once, or the best one after a long silence. `None` if the stream has to
    /// stay where it is.
    async fn choose_other(&self, target: &Target, leave: Leave) -> Option<(Target, Connection)> {
        if self.is_quarantined() || self.is_refused() {
            return None;
        }
        let is_long = leave == Leave::Unresponsive;
        let rounds = if is_long { MAX_ROUNDS } else { 1 };
        for round in 0..rounds {
            let survey = self.survey(self.draw(round), is_long).await;
            let other = self.take_best(&survey, |rated| {
                rated.answer.key != target.key && (is_long || rated.forecast.is_open)
            });
            if let Some(other) = other {
                return self.connect(other).await;
            }
        }
        None
    }

    /// Leaves `former`, which has ended with `attempt` before its first event; another replica has
    /// the stream.
    fn leave_at_start(&mut self, former: &Target, attempt: Attempt) {
        self.broken_dc = Some(former.replica.dc.clone());
        counter::abandoned("silent");
        self.record_failure(former, attempt);
        // The copy is that of the former run.
        self.take_copy();
    }
}

/// What a head without an event decides here: nothing.
fn ignore_head() {}

/// The end of an attempt at a replica that is left for this `reason`.
fn left(reason: &str) -> Attempt {
    Attempt::Broken(format!("replica {reason} before its first event"))
}
