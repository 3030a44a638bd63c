//! Responses of the engine: lines of tokens and loads.

use std::{
    convert::Infallible,
    sync::{Arc, atomic::Ordering},
};

use bytes::Bytes;
use tokio::sync::mpsc;
use warp::reply::{self, Reply, Response};

use super::{Engine, Generation, LOAD_REPORT_INTERVAL};

impl Engine {
    /// Responds with the tokens of a generation from `offset` on.
    pub(super) fn stream(&self, generation: Arc<Generation>, offset: usize) -> Response {
        let (sender, mut receiver) = mpsc::channel::<Result<Bytes, Infallible>>(64);
        tokio::spawn(self.clone().send_lines(generation, offset, sender));
        let lines = futures_util::stream::poll_fn(move |cx| receiver.poll_recv(cx));
        reply::stream(lines).into_response()
    }

    /// Sends the lines of new tokens, load reports while there are none, and the end marker.
    pub(super) async fn send_lines(
        self,
        generation: Arc<Generation>,
        mut offset: usize,
        sender: mpsc::Sender<Result<Bytes, Infallible>>,
    ) {
        let mut progress = generation.progress.subscribe();
        loop {
            let changed = tokio::time::timeout(
                LOAD_REPORT_INTERVAL,
                progress.wait_for(|len| *len > offset || offset >= generation.max_tokens),
            );
            let line = tokio::select! {
                _ = sender.closed() => return,
                changed = changed => match changed {
                    Ok(Err(_)) => return,
                    Ok(Ok(_)) => self.token_lines(&generation, &mut offset),
                    Err(_) => Some(self.load_line()),
                },
            };
            if self.0.fault.borrow().freeze {
                self.wait_unfrozen().await;
            }
            let Some(line) = line else {
                return;
            };
            if sender.send(Ok(line.into())).await.is_err() || self.should_close() {
                return;
            }
            if offset >= generation.max_tokens {
                let end = format!("{{\"end\":{}}}\n", generation.max_tokens);
                let _ = sender.send(Ok(end.into())).await;
                return;
            }
        }
    }

    /// Returns the lines of all tokens from `offset` on, and sets `offset` to their end.
    ///
    /// `None` if `offset` is larger than the number of tokens.
    pub(super) fn token_lines(
        &self,
        generation: &Generation,
        offset: &mut usize,
    ) -> Option<String> {
        let tokens = generation.tokens.lock().unwrap();
        let load = self.0.running.load(Ordering::Relaxed) + self.0.waiting.load(Ordering::Relaxed);
        let mut lines = String::new();
        for token in tokens.get(*offset..)? {
            lines += &format!("{{\"o\":{offset},\"t\":\"{token}\",\"l\":{load}}}\n");
            *offset += 1;
        }
        Some(lines)
    }

    /// Returns a load report: the number of running and queued generations.
    pub(super) fn load_line(&self) -> String {
        let load = self.0.running.load(Ordering::Relaxed) + self.0.waiting.load(Ordering::Relaxed);
        format!("{{\"l\":{load}}}\n")
    }

    /// Counts a sent chunk; returns whether [`Fault::cut_every`] closes its stream.
    pub(super) fn should_close(&self) -> bool {
        let Some(every) = self.0.fault.borrow().cut_every else {
            return false;
        };
        let sent_chunks = self.0.sent_chunks.fetch_add(1, Ordering::Relaxed) + 1;
        sent_chunks.is_multiple_of(every.max(1))
    }
}
