//! One attempt of a stream at one replica: sends the request and forwards the events.

use http::StatusCode;
use tokio::io::AsyncWrite;

use super::{
    Attempt, Session, Target,
    run::{End, Read, Run, Source, StartingGuard, record_answer},
    sending::Started,
};
use crate::{
    counter,
    kv_snapshot::{self, Refresher},
    prelude::*,
    protocol::KvCopy,
    respond::Progress,
    sse::Event as StreamEvent,
    strikes::{self, SURVIVAL_TIME},
};

impl<'a, P: Protocol, W: AsyncWrite + Unpin> Session<'a, P, W> {
    /// Sends the request to `target` and forwards its events to the caller. If the stream moves to
    /// another replica meanwhile, `target` becomes that one.
    pub(super) async fn attempt(&mut self, target: &mut Target) -> Attempt {
        let connection = match self.node.open(&target.replica, &self.job.call).await {
            Ok(connection) => connection,
            Err(error) => return Attempt::NotSent(error),
        };
        self.holds_retry = false;
        let delivery = self.trace.send(&target.replica);
        self.begin_run(target);
        let mut run = Run::new(self.node, target);
        let started = self.start(target, &mut run, connection, delivery).await;
        let Started { reply, source, read } = match started {
            Ok(started) => started,
            Err(attempt) => return attempt,
        };
        if self.out.progress() == Progress::Waiting {
            self.out.begin_stream(StatusCode::OK, reply.headers);
        }
        self.forward_events(target, run, source, read).await
    }

    /// Updates the session for a run that begins at `target`.
    pub(super) fn begin_run(&mut self, target: &Target) {
        self.trace.begin_run();
        self.refused_by = None;
        self.has_survived = false;
        self.is_copy_refused = false;
        if let (Some(replica), Some(run)) = (&target.copy_to, &self.job.call.id) {
            counter::copy_requested();
            let (lookup_address, name) = (replica.address, run.clone());
            self.copy = Some(KvCopy { replica: replica.clone(), lookup_address, name });
        }
    }

    /// Forwards `read` and further events until the stream ends, breaks or stalls, or the caller is gone.
    async fn forward_events(
        &mut self,
        target: &mut Target,
        mut run: Run<'a, P>,
        mut source: Source,
        mut read: Read,
    ) -> Attempt {
        loop {
            let Read { events, end } = read;
            let advances = |event: &&StreamEvent| event.is_progress(self.last_event);
            let count = events.iter().filter(advances).count();
            if self.buffer_events(events) {
                run.recorder.record(count);
                self.record_event(target, &mut run.starting);
            }
            // Until the first event, the head is held back: an error reply may still take its place.
            if self.has_forwarded && self.out.flush().await.is_err() {
                return Attempt::CallerGone;
            }
            match end {
                None => {}
                Some(End::Complete) => {
                    record_answer(self.node, target.key);
                    self.record_answer_time(target);
                    self.record_survival();
                    let is_written = self.out.end_stream().await.is_ok();
                    if !is_written {
                        return Attempt::CallerGone;
                    }
                    self.node.pool.put(target.replica.address, source.into_connection());
                    return Attempt::Complete;
                }
                Some(End::Failed(cause)) => return Attempt::Broken(cause),
            }
            (source, read) = match self.next_events(target, &mut run, source).await {
                Ok(next) => next,
                Err(cause) => return Attempt::Broken(cause),
            };
        }
    }

    /// Buffers the events that the caller does not have yet; returns whether one of them advances
    /// the stream.
    pub(super) fn buffer_events(&mut self, events: Vec<StreamEvent>) -> bool {
        let mut has_progress = false;
        for event in events {
            if event.id.is_some() && event.id <= self.last_event {
                continue;
            }
            has_progress |= event.is_progress(self.last_event);
            self.last_event = event.id.or(self.last_event);
            self.out.buffer_event(&event.bytes);
        }
        has_progress
    }

    /// Updates the session after new events of `target` have been buffered.
    fn record_event(&mut self, target: &Target, starting: &mut Option<StartingGuard<'_, P>>) {
        let now = Instant::now();
        if let Some(starting) = starting.take() {
            record_answer(self.node, target.key);
            if self.trace.sends == 1 {
                if let Some(time) = self.node.pulse.elapsed_if_running(starting.stopwatch, now) {
                    self.record_prompt_time(target, time);
                }
                let elapsed = now - self.job.call.received_at;
                counter::first_event(elapsed);
                self.first_event_latency = Some(elapsed);
            } else {
                let (gap, from_copy) = (now - self.last_event_at, target.copy_from.is_some());
                counter::resumed(from_copy, gap);
                emit!(
                    Event::StreamResumed,
                    request = self.job.call.label(),
                    replica = target.replica.id,
                    dc = target.replica.dc,
                    from_copy = from_copy,
                    after_event = self.last_event.unwrap_or_default(),
                    began = self.has_forwarded,
                    pause_ms = gap.as_millis()
                );
            }
        }
        if self.has_forwarded {
            self.trace.longest_gap = self.trace.longest_gap.max(now - self.last_event_at);
        } else {
            self.trace.first_event = Some(now - self.job.call.received_at);
        }
        self.has_forwarded = true;
        let first_event_at = self.trace.record_event(now);
        if now - first_event_at >= SURVIVAL_TIME {
            self.record_survival();
        }
        self.stall.record_event(now);
        self.refusals_in_row = 0;
        self.last_event_at = now;
        self.ensure_copy(target);
    }

    /// Records once that this attempt has survived.
    fn record_survival(&mut self) {
        if !std::mem::replace(&mut self.has_survived, true) {
            strikes::record_survival(self.node, self.job);
        }
    }

    /// Records the time to the first event if it was the time of a prefill: the replica had no
    /// other prompt and nothing of this one.
    fn record_prompt_time(&self, target: &Target, elapsed: Duration) {
        let Some(estimate) = target.estimate.filter(|estimate| estimate.is_idle) else { return };
        if self.job.call.last_event.is_some() {
            return;
        }
        let mut catalog = self.node.catalog();
        let slowness = catalog.slowness(target.key);
        catalog.record_typical(&self.job.service, |typical| {
            typical.record_prompt_time(elapsed, estimate.prompt_units, slowness);
        });
    }

    /// Records the time from the first event to the last one of a stream that ran in one attempt.
    fn record_answer_time(&self, target: &Target) {
        let Some(first_event_at) = self.trace.run_began_at.filter(|_| self.trace.sends == 1) else {
            return;
        };
        let mut catalog = self.node.catalog();
        let slowness = catalog.slowness(target.key);
        catalog.record_typical(&self.job.service, |typical| {
            typical.record_answer_time(first_event_at.elapsed(), slowness);
        });
    }

    /// Starts to make snapshots if the run has no copy, or if the copy's holder is no longer in the
    /// catalog.
    fn ensure_copy(&mut self, target: &Target) {
        if self.refresher.is_some() {
            return;
        }
        let needs_copy = match &self.copy {
            Some(copy) => self.node.catalog().key(&copy.replica.id).is_none(),
            None => self.keeps_copy(),
        };
        let needs_copy = needs_copy || self.is_copy_refused;
        let ttl = self.engine().and_then(|engine| engine.snapshot_ttl);
        let (true, Some(ttl), Some(id)) = (needs_copy, ttl, self.job.call.id.clone()) else {
            return;
        };
        let (source, tokens) = (target.replica.clone(), self.kv_tokens());
        let run = kv_snapshot::Run { id, source, ttl, tokens, service: self.service() };
        self.refresher = Some(Refresher::start(self.node, run));
    }
}
