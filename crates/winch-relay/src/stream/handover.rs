//! Hands a begun stream over from a silent replica to the holder of its KV cache copy.
//!
//! A silent replica may still go on, and the holder may refuse. So the run at the former replica is
//! given up only once the other one has the stream: until then both connections are open, for a
//! short time, and the first one that yields an event keeps the stream. A holder that has begun to
//! reply at the end of that time has accepted the run, and keeps it, too.

use std::{
    future::Future,
    pin::{Pin, pin},
    sync::atomic::{AtomicBool, Ordering},
};

use futures_util::future::{Fuse, FutureExt};
use tokio::{io::AsyncWrite, time::sleep};
use winch_http::client::Connection;
use winch_route::suspect::Disposition;

use super::{
    Attempt, Session, Target,
    liveness::{Leave, StartWatch, Watch},
    run::{End, Read, Run, Source},
    sending::Started,
};
use crate::{counter, delivery::Delivery, prelude::*, probe, strikes};

/// Longest time for which a run is asked for at a second replica while the first one may go on.
const MAX_OVERLAP: Duration = Duration::from_millis(300);

/// What became of a handover.
enum Handover<'a, P: Protocol> {
    /// The former replica keeps the stream, and is still silent.
    Kept,
    /// The former replica has yielded this.
    Resumed(Box<Source>, Read),
    /// The other replica has the stream.
    Moved(Box<Successor<'a, P>>),
    /// Neither replica has it, the former one for this reason.
    Lost(String),
}

/// The run that continues the stream at another replica.
struct Successor<'a, P: Protocol> {
    target: Target,
    run: Run<'a, P>,
    source: Source,
    /// Its first events.
    read: Read,
}

/// How a request at a second replica ended.
enum Opened {
    Resumed(Source, Read),
    Begun(Source, Read),
    Failed(Attempt),
    /// Neither replica has yielded anything in time.
    Undecided,
}

impl<'a, P: Protocol, W: AsyncWrite + Unpin> Session<'a, P, W> {
    /// Reads until an event advances the stream or the stream ends; hands it over to another replica
    /// if `target` is silent. Then `target` and `run` become those of the other one.
    ///
    /// # Errors
    /// Why the attempt has left its replica.
    pub(super) async fn next_events(
        &mut self,
        target: &mut Target,
        run: &mut Run<'a, P>,
        source: Source,
    ) -> Result<(Source, Read), String> {
        let mut reading = pin!(source.next(self.last_event).fuse());
        let mut watch = Watch::start(&self.node.pulse);
        loop {
            // Only progress restarts the detection of a stall; other bytes do not.
            let leave = tokio::select! {
                biased;
                read = reading.as_mut() => return Ok(read),
                leave = self.abandoned_between_events(target, &mut watch) => leave,
            };
            match leave {
                Leave::Silent => {}
                // Without a retry the stream would only wait elsewhere.
                Leave::Unresponsive if !self.take_retry() => continue,
                Leave::Unresponsive | Leave::Gone(_) | Leave::Lost => {
                    return Err(self.give_up_replica(leave.reason()));
                }
            }
            match self.hand_over(target, reading.as_mut(), &mut watch).await {
                Handover::Kept => {}
                Handover::Resumed(source, read) => return Ok((*source, read)),
                Handover::Lost(cause) => return Err(cause),
                Handover::Moved(successor) => {
                    let Successor { target: next, run: next_run, source, read } = *successor;
                    self.begin_run(&next);
                    (*target, *run) = (next, next_run);
                    return Ok((source, read));
                }
            }
        }
    }

    /// Counts a replica that is given up; returns why.
    fn give_up_replica(&self, reason: &'static str) -> String {
        counter::abandoned(reason);
        self.idle_cause()
    }

    /// Why a replica without events is left.
    fn idle_cause(&self) -> String {
        format!("no event for {} ms", self.stall.idle_time(Instant::now()).as_millis())
    }

    /// Asks the holder of the copy to continue the run of `former`, from which `reading` still reads.
    async fn hand_over<F>(
        &mut self,
        former: &Target,
        mut reading: Pin<&mut Fuse<F>>,
        watch: &mut Watch,
    ) -> Handover<'a, P>
    where
        F: Future<Output = (Source, Read)>,
    {
        let place = tokio::select! {
            biased;
            (source, read) = reading.as_mut() => return Handover::Resumed(source.into(), read),
            place = self.choose_successor() => place,
        };
        let Some((target, connection)) = place else { return Handover::Kept };
        watch.record_handover();
        let delivery = self.trace.send(&target.replica);
        let run = Run::new(self.node, &target);
        let mut lost = None;
        match self.race(&target, connection, delivery, reading, &mut lost).await {
            Opened::Begun(source, read) => {
                self.leave(former, lost);
                self.trace.expect(&target.replica);
                Handover::Moved(Box::new(Successor { target, run, source, read }))
            }
            Opened::Resumed(source, read) => {
                self.withdraw(former, &target, "withdrawn");
                Handover::Resumed(source.into(), read)
            }
            Opened::Undecided => {
                self.withdraw(former, &target, "no event in time");
                Handover::Kept
            }
            Opened::Failed(attempt) => {
                self.record_failure(&target, attempt);
                self.trace.expect(&former.replica);
                lost.map_or(Handover::Kept, Handover::Lost)
            }
        }
    }

    /// Sends the request to `target` and waits for the first event there or from `reading`. `lost`
    /// is set if the former run has ended, or is given up, meanwhile.
    async fn race<F>(
        &self,
        target: &Target,
        connection: Connection,
        delivery: Delivery,
        mut reading: Pin<&mut Fuse<F>>,
        lost: &mut Option<String>,
    ) -> Opened
    where
        F: Future<Output = (Source, Read)>,
    {
        let is_accepted = AtomicBool::new(false);
        let mut opening = pin!(self.open(target, connection, delivery, &is_accepted));
        let mut overlap = pin!(sleep(MAX_OVERLAP).fuse());
        loop {
            tokio::select! {
                biased;
                (source, read) = reading.as_mut() => match read.failure(self.last_event) {
                    Some(cause) => *lost = Some(cause.to_owned()),
                    None => return Opened::Resumed(source, read),
                },
                opened = &mut opening => {
                    return opened.map_or_else(Opened::Failed, |(source, read)| Opened::Begun(source, read));
                }
                () = overlap.as_mut() => {
                    if !is_accepted.load(Ordering::Relaxed) && lost.is_none() {
                        return Opened::Undecided;
                    }
                    reading.set(Fuse::terminated());
                    lost.get_or_insert_with(|| self.idle_cause());
                }
            }
        }
    }

    /// Sends the request to `target` and reads its first events; `is_accepted` is set once it has
    /// begun to reply.
    async fn open(
        &self,
        target: &Target,
        connection: Connection,
        delivery: Delivery,
        is_accepted: &AtomicBool,
    ) -> Result<(Source, Read), Attempt> {
        let accept = || is_accepted.store(true, Ordering::Relaxed);
        let mut watch = StartWatch::default();
        tokio::select! {
            biased;
            started = self.sending(target, delivery).start(connection, accept) => {
                started.map(|Started { source, read, .. }| (source, read))
            }
            _ = self.abandoned_before_first_event(target, &mut watch) => {
                Err(Attempt::Broken("replica unresponsive before its first event".to_owned()))
            }
        }
    }

    /// The holder of the copy with a connection to it, if it is alive, and a retry for it was taken
    /// from the budget. `None` if the stream has to stay where it is.
    async fn choose_successor(&mut self) -> Option<(Target, Connection)> {
        if self.is_quarantined() || self.is_refused() {
            return None;
        }
        let copy = self.newest_copy()?;
        let report = probe::request_report(self.node, &copy.replica).await?;
        if report.draining {
            return None;
        }
        let target = self.target_from_copy(copy).await?;
        self.connect(target).await
    }

    /// `target` with a connection to it, and a retry of the budget, which is taken.
    pub(super) async fn connect(&self, target: Target) -> Option<(Target, Connection)> {
        let connection = match self.node.open(&target.replica, &self.job.call).await {
            Ok(connection) => connection,
            Err(error) => {
                self.node.eject_unopened(target.key, &target.replica, &error);
                return None;
            }
        };
        if self.spend_retry() {
            return Some((target, connection));
        }
        self.node.pool.put(target.replica.address, connection);
        None
    }

    /// Whether strikes against the request forbid further sends.
    pub(super) fn is_refused(&self) -> bool {
        let (request, parts) = (self.job.fingerprint(), &self.job.shared_parts);
        let disposition = self.node.strikes().disposition(request, parts, Instant::now());
        disposition == Disposition::Refused
    }

    /// Leaves `former`, whose stream another replica has; its connection may have been `lost`.
    fn leave(&mut self, former: &Target, lost: Option<String>) {
        counter::abandoned("silent");
        counter::retried("lost");
        let is_lost = lost.is_some();
        let cause = lost.unwrap_or_else(|| self.idle_cause());
        self.trace.record(&former.replica, &cause);
        self.node.eject(former.key, &former.replica, &cause);
        self.node.rollouts().record_broken(&former.replica, self.node.uptime());
        if is_lost && !self.has_survived {
            strikes::attribute_crash_later(self.node, self.job, &former.replica, false);
        }
        // The copy is used.
        self.take_copy();
        self.broken_dc = Some(former.replica.dc.clone());
    }

    /// Takes the request back from `target`; the stream stays at `former`.
    pub(super) fn withdraw(&mut self, former: &Target, target: &Target, result: &str) {
        counter::retried("withdrawn");
        self.trace.record(&target.replica, result);
        self.trace.expect(&former.replica);
    }

    /// Records that `target` did not take the stream.
    pub(super) fn record_failure(&mut self, target: &Target, attempt: Attempt) {
        match attempt {
            Attempt::Broken(cause) => {
                self.trace.excluded.push(target.replica.id.clone());
                self.trace.record(&target.replica, &cause);
                self.node.rollouts().record_broken(&target.replica, self.node.uptime());
                self.node.eject(target.key, &target.replica, &cause);
                counter::retried("lost");
                strikes::attribute_crash_later(self.node, self.job, &target.replica, false);
            }
            Attempt::ErrorReply(reply, _) => {
                self.trace.excluded.push(target.replica.id.clone());
                self.trace.record(&target.replica, reply.status.as_u16());
                self.node.rollouts().record_error_reply(&target.replica);
                counter::retried("failure");
            }
            // `open` ends in no other way.
            _ => {
                let is_full = matches!(attempt, Attempt::Refused { is_full: true });
                self.record_refusal(target, is_full);
                if target.copy_from.is_some() {
                    self.is_copy_refused = true;
                } else {
                    self.trace.excluded.push(target.replica.id.clone());
                }
            }
        }
    }
}

impl Read {
    /// Why the stream has failed before an event advanced it after `last`; `None` otherwise.
    pub(super) fn failure(&self, last: Option<u64>) -> Option<&str> {
        let has_progress = self.events.iter().any(|event| event.is_progress(last));
        match &self.end {
            Some(End::Failed(cause)) if !has_progress => Some(cause),
            _ => None,
        }
    }
}
