//! Starts a stream at a replica, and at another one if that does not respond.
//!
//! A replica that answers no probe may only pause, and another one may refuse although its report
//! shows no load. So a stream keeps its place at the former one until the other one has not refused
//! it: for a short time both have the request, and the first one that yields an event keeps it.

use tokio::{io::AsyncWrite, time::sleep};
use winch_http::client::Connection;

use super::{
    Attempt, Session, Target,
    handover::MAX_OVERLAP,
    liveness::{Leave, StartWatch},
    run::Run,
    sending::Started,
};
use crate::{counter, prelude::*};

/// What became of two requests, the former one and the other, within the longest overlap.
enum Race {
    /// The former one has ended so.
    Former(Result<Started, Attempt>),
    /// The other one has ended so.
    Other(Result<Started, Attempt>),
    /// None of the two has ended.
    Undecided,
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
    ) -> Result<Started, Attempt> {
        let mut starting = Box::pin(self.sending(target).start(connection, ignore_head));
        let mut watch = StartWatch::default();
        loop {
            let leave = tokio::select! {
                biased;
                started = &mut starting => return started,
                leave = self.abandoned_before_first_event(target, &mut watch) => leave,
            };
            if leave != Leave::Silent {
                counter::abandoned("unresponsive");
                return Err(unresponsive());
            }
            let place = tokio::select! {
                biased;
                started = &mut starting => return started,
                place = self.choose_open(target) => place,
            };
            let Some((other, connection)) = place else { continue };
            self.trace.send(&other.replica);
            let other_run = Run::new(self.node, &other);
            let mut other_starting = Box::pin(self.sending(&other).start(connection, ignore_head));
            let race = tokio::select! {
                biased;
                started = &mut starting => Race::Former(started),
                started = &mut other_starting => Race::Other(started),
                () = sleep(MAX_OVERLAP) => Race::Undecided,
            };
            let (left, first_events) = match race {
                Race::Former(Ok(started)) => {
                    self.withdraw(target, &other, "withdrawn");
                    return Ok(started);
                }
                Race::Other(Err(attempt)) => {
                    self.trace.may_have_run |= !matches!(attempt, Attempt::Refused { .. });
                    self.record_failure(&other, attempt);
                    self.trace.expect(&target.replica);
                    continue;
                }
                Race::Former(Err(attempt)) => (attempt, None),
                Race::Other(Ok(started)) => (unresponsive(), Some(started)),
                Race::Undecided => (unresponsive(), None),
            };
            self.leave_at_start(target, left);
            self.trace.expect(&other.replica);
            self.begin_run(&other);
            (*target, *run) = (other, other_run);
            if let Some(started) = first_events {
                return Ok(started);
            }
            (starting, watch) = (other_starting, StartWatch::default());
        }
    }

    /// Another replica than `target` at which the stream can start at once, with a connection to it
    /// and a retry of the budget. `None` if the stream has to stay where it is.
    async fn choose_open(&mut self, target: &Target) -> Option<(Target, Connection)> {
        if self.is_quarantined() || self.is_refused() {
            return None;
        }
        let survey = self.survey(self.draw(0), false).await;
        let other = self
            .take_best(&survey, |rated| rated.answer.key != target.key && rated.forecast.is_open)?;
        self.connect(other).await
    }

    /// Leaves `former`, which has ended with `attempt` before its first event; another replica has
    /// the stream.
    fn leave_at_start(&mut self, former: &Target, attempt: Attempt) {
        self.trace.may_have_run |= !matches!(attempt, Attempt::Refused { .. });
        self.broken_dc = Some(former.replica.dc.clone());
        counter::abandoned("silent");
        self.record_failure(former, attempt);
        // The copy is that of the former run.
        self.take_copy();
    }
}

/// What a head without an event decides here: nothing.
fn ignore_head() {}

fn unresponsive() -> Attempt {
    Attempt::Broken("replica unresponsive before its first event".to_owned())
}
