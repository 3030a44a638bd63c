//! Progress of the streams, as the replicas make it and the daemons see it.

use super::{super::CALLER_TIMEOUT_S, Event, LOAD_RECORD_INTERVAL_S, MAX_GAP_S, Simulation};

impl Simulation<'_> {
    /// Records a token of a stream, and the end of the stream with its last one.
    pub(super) fn record_token(&mut self, number: usize, replica: usize) {
        let now = self.now;
        let stream = &mut self.streams[number];
        stream.produced_tokens += 1;
        if stream.produced_tokens.is_multiple_of(self.pattern.event_tokens)
            || stream.produced_tokens >= stream.answer_tokens
        {
            let is_first_event = stream.last_event_at.is_none();
            let waited_s = now - stream.last_event_at.unwrap_or(stream.arrived_at);
            let target_s = self.kinds[stream.kind].target;
            stream.is_late |= waited_s > if is_first_event { target_s } else { MAX_GAP_S };
            stream.last_event_at = Some(now);
            let holder = stream.placement.and_then(|placement| placement.copy_holder);
            if let Some(holder) =
                holder.filter(|_| stream.is_copied && self.pattern.engine.on_demand)
            {
                let context_tokens = stream.context_tokens();
                // A restarted holder has lost the copy.
                stream.is_copied = self.engines[holder].grow_copy(number, context_tokens);
            }
        }
        let is_first_token = stream.produced_tokens == 1;
        if stream.produced_tokens >= stream.answer_tokens {
            stream.ended_at = Some(now);
            self.engines[replica].remove(number);
            self.detach(number, is_first_token);
        } else if is_first_token {
            self.record_first_token(number);
        }
    }

    /// Records at the daemon that a stream has received its first token.
    pub(super) fn record_first_token(&mut self, number: usize) {
        let (stream, now) = (self.streams[number], self.instant());
        if let Some(placement) = stream.placement {
            let catalog = &mut self.daemons[stream.daemon].catalog;
            catalog
                .update(placement.key, |entry| entry.starting = entry.starting.saturating_sub(1));
            catalog.record_answer(placement.key, None, false, now);
        }
    }

    /// Records at the daemon that a stream no longer runs at its replica, and drops its copy.
    ///
    /// `is_starting` says whether the stream still counts as starting, because
    /// [`Self::record_first_token`] was not called for it.
    pub(super) fn detach(&mut self, number: usize, is_starting: bool) {
        let stream = &mut self.streams[number];
        let Some(placement) = stream.placement.take() else { return };
        self.daemons[stream.daemon].catalog.update(placement.key, |entry| {
            entry.in_flight = entry.in_flight.saturating_sub(1);
            entry.starting = entry.starting.saturating_sub(u32::from(is_starting));
        });
        if let Some(holder) = placement.copy_holder {
            self.engines[holder].drop_copy(number);
        }
    }

    /// Drops the copy of a stream that keeps its replica.
    pub(super) fn drop_copy(&mut self, number: usize) {
        let stream = &mut self.streams[number];
        stream.is_copied = false;
        if let Some(holder) = stream.placement.and_then(|placement| placement.copy_holder) {
            self.engines[holder].drop_copy(number);
        }
    }

    /// Records the load of all engines, and schedules the next time until all callers have
    /// given up.
    pub(super) fn record_load(&mut self) {
        let (now, lag) = (self.now, self.pattern.report_lag);
        self.engines.iter_mut().for_each(|engine| engine.record_load(now, lag));
        if now < self.pattern.seconds + CALLER_TIMEOUT_S {
            self.schedule(now + LOAD_RECORD_INTERVAL_S, Event::RecordLoad);
        }
    }
}
