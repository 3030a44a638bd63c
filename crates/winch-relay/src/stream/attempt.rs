//! One attempt of a stream at one replica: sends the request and forwards the events.

use bytes::Bytes;
use http::StatusCode;
use tokio::io::AsyncWrite;
use winch_http::{
    client::{Connection, Error},
    head::Reply,
};

use super::{Attempt, Session, Target};
use crate::{
    catalog::{Entry, Key},
    counter,
    exchange::CallReply,
    forward,
    job::InFlightGuard,
    kv_snapshot::{self, Refresher},
    memory::{self, Reservation},
    node::Node,
    prelude::*,
    protocol::{Dispatch, KvCopy},
    respond::Progress,
    speed::Recorder,
    sse::{Event as StreamEvent, Splitter},
    strikes::{self, SURVIVAL_TIME},
};

/// Largest total size of consecutive events that do not advance a stream, in bytes.
const MAX_PASSIVE_BYTES: usize = 64 * 1024;
/// Largest body of a reply that is not a stream.
const MAX_BODY_BYTES: usize = 1024 * 1024;

impl<P: Protocol, W: AsyncWrite + Unpin> Session<'_, P, W> {
    /// Sends the request to `target` and forwards its events to the caller.
    pub(super) async fn attempt(&mut self, target: &Target) -> Attempt {
        let mut connection = match self.node.open(&target.replica).await {
            Ok(connection) => connection,
            Err(error) => return Attempt::NotSent(error.to_string()),
        };
        self.trace.send(&target.replica);
        self.first_event_at = None;
        self.has_survived = false;
        let node = self.node;
        let _in_flight = InFlightGuard::new(node, target.key);
        let result = self.exchange(target, &mut connection).await;
        if matches!(result, Attempt::Complete | Attempt::Refused | Attempt::ErrorReply(..)) {
            node.pool.put(target.replica.address, connection);
        }
        result
    }

    /// Whether the request was lost before, at a replica or with an earlier daemon, and starts
    /// again from its prompt.
    fn is_repeated(&self, target: &Target) -> bool {
        target.copy_from.is_none() && (self.trace.may_have_run || self.last_event.is_some())
    }

    /// Sends the request on `connection` and handles the reply.
    async fn exchange(&mut self, target: &Target, connection: &mut Connection) -> Attempt {
        let dispatch = Dispatch {
            replica: &target.replica,
            time_left: self.job.time_to_deadline(Instant::now()),
            team: self.job.team.as_ref().map(|team| &team.name),
            priority: self.job.priority.level(self.is_repeated(target)),
            after_event: self.last_event,
            copy_to: target.copy_to.as_ref().map(|replica| replica.address),
            copy_from: target.copy_from.as_ref(),
        };
        let request = self.node.protocol.encode_request(&self.job.call, &dispatch);
        if let (Some(replica), Some(run)) = (&target.copy_to, &self.job.call.id) {
            counter::copy_requested();
            let (lookup_address, name) = (replica.address, run.clone());
            self.copy = Some(KvCopy { replica: replica.clone(), lookup_address, name });
        }
        let starting = StartingGuard::new(self.node, target.key);
        let mut reply = match self.await_head(&request, target, connection).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(error)) => return Attempt::Broken(error.to_string()),
            Err(Unresponsive) => {
                return Attempt::Broken("replica unresponsive before its reply".to_owned());
            }
        };
        let meta = self.node.protocol.decode_reply_meta(&reply);
        self.node.apply_reply(&target.replica, &meta, &reply);
        if self.job.is_forwarded {
            forward::name_replica(&mut reply, &target.replica);
        }
        if meta.not_run {
            // The connection can be reused only after the body of the reply has been read.
            let read = self.read_body(connection).await;
            return read.map_or_else(|e| Attempt::Broken(e.to_string()), |_| Attempt::Refused);
        }
        if !meta.signed || meta.encoded {
            return Attempt::Broken(format!(
                "reply with status {} is unsigned or encoded",
                reply.status.as_u16()
            ));
        }
        if !reply.status.is_success() {
            return match self.read_body(connection).await {
                Ok(body) => Attempt::ErrorReply(reply, body),
                Err(error) => Attempt::Broken(error.to_string()),
            };
        }
        if self.out.progress() == Progress::Waiting {
            self.out.begin_stream(StatusCode::OK, reply.headers);
        }
        self.forward_events(target, connection, starting).await
    }

    /// Reads the body of a reply that is not a stream.
    async fn read_body(&self, connection: &mut Connection) -> Result<Bytes, Error> {
        memory::read_body(connection, &self.node.body_blocks, MAX_BODY_BYTES).await
    }

    /// Sends the request and reads the head of the reply; fails with [`Unresponsive`] if
    /// the attempt abandons its replica first.
    async fn await_head(
        &self,
        request: &[u8],
        target: &Target,
        connection: &mut Connection,
    ) -> Result<Result<Reply, Error>, Unresponsive> {
        let node = self.node;
        let matcher = CallReply { protocol: &node.protocol, id: self.job.call.id.as_ref() };
        tokio::select! {
            biased;
            reply = connection.exchange(&self.job.call.method, request, &matcher) => Ok(reply),
            () = self.abandoned_before_first_event(target) => Err(Unresponsive),
        }
    }

    /// Forwards events until the stream ends, breaks or stalls, or the caller is gone.
    ///
    /// `starting` is dropped when the first new event arrives.
    async fn forward_events(
        &mut self,
        target: &Target,
        connection: &mut Connection,
        starting: StartingGuard<'_, P>,
    ) -> Attempt {
        let mut starting = Some(starting);
        let mut splitter = Splitter::default();
        let mut reservation = Reservation::new(&self.node.body_blocks);
        let mut recorder = Recorder::new(self.node, &target.replica);
        loop {
            // Only progress restarts the detection of a stall; other bytes do not.
            let read = tokio::select! {
                biased;
                read = read_events(connection, &mut splitter, &mut reservation, self.last_event) => read,
                () = self.abandoned(target, starting.is_some()) => {
                    let idle_ms = self.stall.idle_time(Instant::now()).as_millis();
                    return Attempt::Broken(format!("no event for {idle_ms} ms"));
                }
            };
            let Read { events, end } = read;
            let advances = |event: &&StreamEvent| event.is_progress(self.last_event);
            let count = events.iter().filter(advances).count();
            if self.buffer_events(events) {
                recorder.record(count);
                self.record_event(target, &mut starting);
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
                    return match self.out.end_stream().await {
                        Ok(()) => Attempt::Complete,
                        Err(_) => Attempt::CallerGone,
                    };
                }
                Some(End::Failed(cause)) => return Attempt::Broken(cause),
            }
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
                self.record_prompt_time(target, now - starting.started_at);
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
        let first_event_at = *self.first_event_at.get_or_insert(now);
        if now - first_event_at >= SURVIVAL_TIME {
            self.record_survival();
        }
        self.stall.record_event(now);
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
        let Some(first_event_at) = self.first_event_at.filter(|_| self.trace.sends == 1) else {
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
        let ttl = self.engine().and_then(|engine| engine.snapshot_ttl);
        let (true, Some(ttl), Some(id)) = (needs_copy, ttl, self.job.call.id.clone()) else {
            return;
        };
        let (source, tokens) = (target.replica.clone(), self.kv_tokens());
        let run = kv_snapshot::Run { id, source, ttl, tokens, service: self.service() };
        self.refresher = Some(Refresher::start(self.node, run));
    }

    async fn abandoned(&self, target: &Target, before_first_event: bool) {
        if before_first_event {
            self.abandoned_before_first_event(target).await;
        } else {
            self.abandoned_between_events(target).await;
        }
    }
}

/// How a stream ended at its replica.
pub(super) enum End {
    /// With its last event.
    Complete,
    /// For this reason.
    Failed(String),
}

/// Events that were read, and whether the stream ended after them.
pub(super) struct Read {
    pub(super) events: Vec<StreamEvent>,
    pub(super) end: Option<End>,
}

/// Reads until an event advances the stream after `last`, or the stream ends.
///
/// A replica that sends bytes without progress has failed once they exceed a limit.
pub(super) async fn read_events(
    connection: &mut Connection,
    splitter: &mut Splitter,
    reservation: &mut Reservation,
    last: Option<u64>,
) -> Read {
    let mut events = Vec::new();
    let mut passive_bytes = 0;
    loop {
        let end = match connection.chunk().await {
            Ok(Some(data)) if !splitter.push(&data) => {
                Some(End::Failed("event exceeds the size limit".to_owned()))
            }
            Ok(Some(_)) => {
                let room = reservation.grow_to(splitter.pending_bytes());
                room.err().map(|_| End::Failed("no memory for a long event".to_owned()))
            }
            Ok(None) if splitter.has_partial() => {
                Some(End::Failed("stream ended inside an event".to_owned()))
            }
            Ok(None) => Some(End::Complete),
            Err(error) => Some(End::Failed(error.to_string())),
        };
        let mut has_progress = false;
        while let Some(event) = splitter.next_event() {
            has_progress |= event.is_progress(last);
            passive_bytes += event.bytes.len();
            events.push(event);
        }
        if splitter.pending_bytes() == 0 {
            reservation.clear();
        }
        if has_progress || end.is_some() {
            return Read { events, end };
        }
        if passive_bytes > MAX_PASSIVE_BYTES {
            let cause = format!("no progress in {passive_bytes} bytes");
            return Read { events: Vec::new(), end: Some(End::Failed(cause)) };
        }
    }
}

/// The attempt abandons its replica.
struct Unresponsive;

/// Records that a replica answered, without a sample of its latency.
fn record_answer<P: Protocol>(node: &Node<P>, key: Key) {
    node.catalog().record_answer(key, None, false, Instant::now());
}

/// Guard that counts a stream of this daemon as waiting for its first event.
struct StartingGuard<'a, P: Protocol> {
    node: &'a Node<P>,
    key: Key,
    started_at: Instant,
}

impl<'a, P: Protocol> StartingGuard<'a, P> {
    fn new(node: &'a Node<P>, key: Key) -> Self {
        node.catalog().update(key, |entry| entry.starting += 1);
        Self { node, key, started_at: Instant::now() }
    }
}

impl<P: Protocol> Drop for StartingGuard<'_, P> {
    fn drop(&mut self) {
        let decrement = |entry: &mut Entry| {
            entry.starting = entry.starting.saturating_sub(1);
        };
        self.node.catalog().update(self.key, decrement);
    }
}
