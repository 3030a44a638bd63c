//! One attempt of a stream at one replica.

use http::StatusCode;
use tokio::{io::AsyncWrite, time::sleep_until};
use winch_http::{
    client::{Connection, Error},
    head::Reply,
};

use super::{Attempt, Run, Target};
use crate::{
    catalog::{Entry, Key},
    counter,
    job::{InFlight, is_reply_to},
    kv_snapshot::{self, Refresher},
    node::Node,
    prelude::*,
    probe,
    protocol::{Dispatch, KvCopy},
    respond::Progress,
    sse::Splitter,
};

/// Interval of the questions whether a replica lives before its first event.
const FIRST_EVENT_CHECK: Duration = Duration::from_millis(500);
/// Interval of such questions in a silence that is too short to move the stream.
const SILENT_CHECK: Duration = Duration::from_millis(250);
/// Longest failure answer in bytes.
const MAX_FAILURE: usize = 1024 * 1024;

impl<D: Protocol, W: AsyncWrite + Unpin> Run<'_, D, W> {
    pub(super) async fn attempt(&mut self, target: &Target) -> Attempt {
        let mut connection = match self.node.pool.open(target.replica.address).await {
            Ok(connection) => connection,
            Err(error) => return Attempt::NotSent(error.to_string()),
        };
        self.trace.sends += 1;
        self.answered = false;
        let node = self.node;
        let _flight = InFlight::new(node, target.key);
        let ended = self.exchange(target, &mut connection).await;
        if matches!(ended, Attempt::Complete | Attempt::Refused | Attempt::Failure(..)) {
            node.pool.put(target.replica.address, connection);
        }
        ended
    }

    async fn exchange(&mut self, target: &Target, connection: &mut Connection) -> Attempt {
        let dispatch = Dispatch {
            replica: &target.replica,
            time_left: self.job.time_left(Instant::now()),
            team: self.job.team.as_ref().map(|team| &team.name),
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
        let starting = Starting::new(self.node, target.key);
        let reply = match self.await_head(&request, target, connection).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(error)) => return Attempt::Lost(error.to_string()),
            Err(Silent) => return Attempt::Lost("silent before its answer".to_owned()),
        };
        let facts = self.node.protocol.decode_reply_meta(&reply);
        if facts.not_run {
            // The body of a refusal is read so that the connection can be kept.
            let read = connection.body(MAX_FAILURE).await;
            return read.map_or_else(|e| Attempt::Lost(e.to_string()), |_| Attempt::Refused);
        }
        if !facts.signed || facts.encoded {
            return Attempt::Lost(format!("unusable {}", reply.status.as_u16()));
        }
        if !reply.status.is_success() {
            return match connection.body(MAX_FAILURE).await {
                Ok(body) => Attempt::Failure(reply, body),
                Err(error) => Attempt::Lost(error.to_string()),
            };
        }
        if self.out.progress() == Progress::Waiting {
            self.out.begin_stream(StatusCode::OK, reply.headers);
        }
        self.pass_events(target, connection, starting).await
    }

    async fn await_head(
        &self,
        request: &[u8],
        target: &Target,
        connection: &mut Connection,
    ) -> Result<Result<Reply, Error>, Silent> {
        let (node, id) = (self.node, self.job.call.id.as_ref());
        let fresh = connection.exchanges() == 0;
        let accepts = |reply: &Reply| is_reply_to(node, id, fresh, reply);
        tokio::select! {
            biased;
            reply = connection.exchange(&self.job.call.method, request, accepts) => Ok(reply),
            () = probe::wait_until_dead(node, &target.replica, FIRST_EVENT_CHECK) => Err(Silent),
        }
    }

    async fn pass_events(
        &mut self,
        target: &Target,
        connection: &mut Connection,
        starting: Starting<'_, D>,
    ) -> Attempt {
        let mut starting = Some(starting);
        let mut splitter = Splitter::default();
        loop {
            let chunk = tokio::select! {
                biased;
                chunk = connection.chunk() => chunk,
                () = self.silent(target, starting.is_some()) => {
                    let silence = self.pace.idle_time(Instant::now()).as_millis();
                    return Attempt::Lost(format!("silent for {silence} ms"));
                }
            };
            match chunk {
                Ok(Some(data)) if !splitter.push(&data) => {
                    return Attempt::Lost("an event is too long".to_owned());
                }
                Ok(Some(_)) => {}
                Ok(None) if splitter.has_partial() => {
                    return Attempt::Lost("ended within an event".to_owned());
                }
                Ok(None) => {
                    node_answered(self.node, target.key);
                    return match self.out.end_stream().await {
                        Ok(()) => Attempt::Complete,
                        Err(_) => Attempt::CallerGone,
                    };
                }
                Err(error) => return Attempt::Lost(error.to_string()),
            }
            let mut passed = false;
            while let Some(event) = splitter.next_event() {
                if event.id.is_some() && event.id <= self.last_event {
                    continue;
                }
                self.last_event = event.id.or(self.last_event);
                self.out.put_event(&event.bytes);
                passed = true;
            }
            if passed {
                self.passed_event(target, &mut starting);
                if self.out.flush().await.is_err() {
                    return Attempt::CallerGone;
                }
            }
        }
    }

    /// Notes that an event has arrived.
    fn passed_event(&mut self, target: &Target, starting: &mut Option<Starting<'_, D>>) {
        let now = Instant::now();
        if starting.take().is_some() {
            node_answered(self.node, target.key);
            if self.trace.sends == 1 {
                let taken = now - self.job.call.received_at;
                counter::first_event(taken);
                self.first_event = Some(taken);
            } else {
                let (pause, copied) = (now - self.last_at, target.copy_from.is_some());
                counter::resumed(copied, pause);
                emit!(
                    Event::StreamResumed,
                    request = self.job.call.label(),
                    replica = target.replica.id,
                    dc = target.replica.dc,
                    from_copy = copied,
                    after_event = self.last_event.unwrap_or_default(),
                    began = self.began,
                    pause_ms = pause.as_millis()
                );
            }
        }
        self.began = true;
        self.answered = true;
        self.pace.record_event(now);
        self.last_at = now;
        self.protect(target);
    }

    /// Has the run copied again if the holder of its copy is gone.
    fn protect(&mut self, target: &Target) {
        let Some(copy) = &self.copy else { return };
        if self.protector.is_some() || self.node.catalog().key(&copy.replica.id).is_some() {
            return;
        }
        let ttl = self.engine().and_then(|engine| engine.snapshot_ttl);
        let (Some(ttl), Some(run)) = (ttl, self.job.call.id.clone()) else { return };
        let subject = kv_snapshot::Run { id: run, source: target.replica.clone(), ttl };
        self.protector = Some(Refresher::start(self.node, subject));
    }

    /// Ends when the stream is to go on elsewhere because its replica is silent.
    async fn silent(&self, target: &Target, before_first: bool) {
        if before_first {
            return probe::wait_until_dead(self.node, &target.replica, FIRST_EVENT_CHECK).await;
        }
        sleep_until(self.pace.probe_at()).await;
        if probe::request_report(self.node, &target.replica).await.is_none() {
            return;
        }
        // On the last attempt a live replica is waited for: it may still go on.
        if self.copy.is_some() && self.trace.sends < self.job.route.max_attempts {
            return sleep_until(self.pace.failover_at()).await;
        }
        probe::wait_until_dead(self.node, &target.replica, SILENT_CHECK).await;
    }
}

/// The replica does not answer questions for its report.
struct Silent;

fn node_answered<D: Protocol>(node: &Node<D>, key: Key) {
    node.catalog().record_answer(key, None, false);
}

/// Counts a stream that waits for its first event.
struct Starting<'a, D: Protocol> {
    node: &'a Node<D>,
    key: Key,
}

impl<'a, D: Protocol> Starting<'a, D> {
    fn new(node: &'a Node<D>, key: Key) -> Self {
        node.catalog().update(key, |entry| entry.starting += 1);
        Self { node, key }
    }
}

impl<D: Protocol> Drop for Starting<'_, D> {
    fn drop(&mut self) {
        let change = |entry: &mut Entry| {
            entry.starting = entry.starting.saturating_sub(1);
        };
        self.node.catalog().update(self.key, change);
    }
}
