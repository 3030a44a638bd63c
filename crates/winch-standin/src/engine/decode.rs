//! Prefill and generation of tokens.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use tokio::time::{Instant, sleep};
use winch_generation::digest::Digest;

use super::{Engine, Generation, MAX_CACHED_PROMPTS, Request};
use crate::verify;

impl Engine {
    /// Waits for a slot, generates the answer, and forgets the generation unless it was replaced.
    pub(super) async fn run(self, request: Request, generation: Arc<Generation>) {
        self.0.waiting.fetch_add(1, Ordering::Relaxed);
        let permit = self.0.slots.acquire().await;
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
        self.0.running.fetch_add(1, Ordering::Relaxed);
        self.decode(&request, &generation).await;
        self.0.running.fetch_sub(1, Ordering::Relaxed);
        drop(permit);
        let mut generations = self.0.generations.lock().unwrap();
        let current = generations.get(&request.request);
        if current.is_some_and(|current| Arc::ptr_eq(current, &generation)) {
            generations.remove(&request.request);
        }
    }

    /// Prefills a request and generates tokens until the answer is complete or no longer wanted.
    pub(super) async fn decode(&self, request: &Request, generation: &Arc<Generation>) {
        self.prefill(request).await;
        let mut digest = Digest::of(request.prompt.as_bytes());
        for token in &request.accepted {
            digest = digest.push(token);
        }
        let mut unread_since = None;
        for offset in request.accepted.len()..request.max_tokens {
            sleep(self.gap()).await;
            if self.0.fault.borrow().freeze {
                self.wait_unfrozen().await;
            }
            if !self.should_continue(&request.request, generation, &mut unread_since) {
                return;
            }
            let token = verify::token(digest, &request.version, self.0.options.salt);
            digest = digest.push(&token);
            generation.tokens.lock().unwrap().push(token);
            generation.progress.send_replace(offset + 1);
            self.0.generated_tokens.fetch_add(1, Ordering::Relaxed);
        }
        // A reader that lost its connection may reattach to read the end.
        if generation.progress.receiver_count() == 0 {
            sleep(self.0.options.linger).await;
        }
    }

    /// Whether a generation was neither cancelled nor replaced, and has a reader or lost its last
    /// one less than [`Options::linger`] ago.
    ///
    /// `unread_since` keeps the time from which on there was no reader.
    pub(super) fn should_continue(
        &self,
        request: &str,
        generation: &Arc<Generation>,
        unread_since: &mut Option<Instant>,
    ) -> bool {
        let generations = self.0.generations.lock().unwrap();
        if generations.get(request).is_none_or(|current| !Arc::ptr_eq(current, generation)) {
            return false;
        }
        if generation.progress.receiver_count() > 0 {
            *unread_since = None;
            return true;
        }
        unread_since.get_or_insert_with(Instant::now).elapsed() < self.0.options.linger
    }

    /// Time to the next token, which grows with the batch.
    pub(super) fn gap(&self) -> Duration {
        let inner = &self.0;
        let running = inner.running.load(Ordering::Relaxed) as f64;
        let batch = 1.0 + 0.5 * running / inner.options.slots as f64;
        let slow = inner.fault.borrow().slow.max(1.0);
        inner.options.gap.mul_f64(batch * slow)
    }

    pub(super) async fn prefill(&self, request: &Request) {
        let cached = self.touch_cache(Digest::of(request.prompt.as_bytes()));
        // Four bytes of a prompt count as one token.
        let prompt_tokens = if cached { 0 } else { request.prompt.len() / 4 };
        let tokens = prompt_tokens + request.accepted.len();
        self.0.prefilled_tokens.fetch_add(tokens as u64, Ordering::Relaxed);
        sleep(self.0.options.prefill * u32::try_from(tokens).unwrap_or(u32::MAX)).await;
    }

    /// Makes a prompt the most recently used one of the cache; returns whether it was cached.
    pub(super) fn touch_cache(&self, prompt: Digest) -> bool {
        let mut cache = self.0.cache.lock().unwrap();
        let cached = cache.contains(&prompt);
        cache.retain(|other| *other != prompt);
        cache.push_back(prompt);
        if cache.len() > MAX_CACHED_PROMPTS {
            cache.pop_front();
        }
        cached
    }
}
