//! A stream at one replica: what is read of it, and what is counted of it.

use tokio::sync::Semaphore;
use winch_http::client::Connection;

use super::Target;
use crate::{
    catalog::{Entry, Key},
    delivery::Delivery,
    job::InFlightGuard,
    memory::Reservation,
    node::Node,
    prelude::*,
    pulse::Stopwatch,
    speed::Recorder,
    sse::{Event as StreamEvent, Splitter},
};

/// Largest total size of consecutive events that do not advance a stream, in bytes.
const MAX_PASSIVE_BYTES: usize = 64 * 1024;

/// What this daemon counts of a run while it lasts.
pub(super) struct Run<'a, P: Protocol> {
    pub(super) recorder: Recorder<'a, P>,
    /// Counts the run as starting until its first event.
    pub(super) starting: Option<StartingGuard<'a, P>>,
    _in_flight: InFlightGuard<'a, P>,
}

impl<'a, P: Protocol> Run<'a, P> {
    /// Counts a run at `target`.
    pub(super) fn new(node: &'a Node<P>, target: &Target) -> Self {
        Self {
            recorder: Recorder::new(node, &target.replica),
            starting: Some(StartingGuard::new(node, target.key)),
            _in_flight: InFlightGuard::new(node, target.key),
        }
    }
}

/// The connection on which the events of a run arrive. Dropping it ends the run.
pub(super) struct Source {
    connection: Connection,
    /// The request runs for as long as its events are read.
    _delivery: Delivery,
    splitter: Splitter,
    reservation: Reservation,
}

impl Source {
    /// The events on `connection`, whose memory is taken from `blocks`.
    pub(super) fn new(connection: Connection, delivery: Delivery, blocks: &Arc<Semaphore>) -> Self {
        let (splitter, reservation) = (Splitter::default(), Reservation::new(blocks));
        Self { connection, _delivery: delivery, splitter, reservation }
    }

    /// The connection, which may be used again if the stream is complete.
    pub(super) fn into_connection(self) -> Connection {
        self.connection
    }

    /// Reads until an event advances the stream after `last`, or the stream ends; see
    /// [`read_events()`].
    pub(super) async fn next(mut self, last: Option<u64>) -> (Self, Read) {
        let Self { connection, splitter, reservation, .. } = &mut self;
        let read = read_events(connection, splitter, reservation, last).await;
        (self, read)
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

/// Records that a replica answered, without a sample of its latency.
pub(super) fn record_answer<P: Protocol>(node: &Node<P>, key: Key) {
    node.catalog().record_answer(key, None, false, Instant::now());
}

/// Guard that counts a stream of this daemon as waiting for its first event.
pub(super) struct StartingGuard<'a, P: Protocol> {
    node: &'a Node<P>,
    key: Key,
    pub(super) stopwatch: Stopwatch,
}

impl<'a, P: Protocol> StartingGuard<'a, P> {
    fn new(node: &'a Node<P>, key: Key) -> Self {
        node.catalog().update(key, |entry| entry.starting += 1);
        Self { node, key, stopwatch: node.pulse.start() }
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
