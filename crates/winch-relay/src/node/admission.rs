//! Admission of streams under load: the gates of this daemon, one for each service.

use rand::Rng;
use winch_route::overload::{Change, Estimate, Gate, Refusal, Request};

use super::lock;
use crate::{counter, job::Job, prelude::*};

impl<P: Protocol> Node<P> {
    /// Decides whether a stream is sent to the replica of `estimate`, the best one that was found.
    ///
    /// The stream must not have run anywhere: a refusal states that it never will.
    ///
    /// # Errors
    /// A [`Refusal`] if no replica can start the stream in time.
    pub fn admit_stream(&self, job: &Job, estimate: Estimate) -> Result<(), Refusal> {
        let now = Instant::now();
        let request = Request {
            rank: gate_rank(job),
            ranks: job.priority.ranks.min(2),
            target: job.route.target_latency,
            elapsed: now - job.call.received_at,
            time_left: job.reply_deadline.saturating_duration_since(now),
        };
        let (now, phase) = (now - self.started_at, self.rng().random());
        let admitted = {
            let mut gates = lock(&self.gates);
            let gate = gates.entry(job.service.clone()).or_default();
            let admitted = gate.admit(&request, estimate, now, phase);
            report_change(&job.service, gate, now);
            admitted
        };
        let result = if admitted.is_ok() { "admitted" } else { "refused" };
        counter::admission(result, request.rank);
        admitted
    }

    /// Whether the service of `job` was found loaded so recently that only the first candidates
    /// need be asked for their load.
    pub fn is_saturated(&self, job: &Job) -> bool {
        let gates = lock(&self.gates);
        let gate = gates.get(&job.service);
        gate.is_some_and(|gate| gate.is_saturated(gate_rank(job), self.uptime()))
    }

    /// Reports saturated phases that have ended, and drops the gates of services that the
    /// configuration no longer has.
    pub fn sweep_gates(&self) {
        let (config, now) = (self.config(), self.uptime());
        lock(&self.gates).retain(|service, gate| {
            report_change(service, gate, now);
            config.as_ref().is_none_or(|config| config.service(service).is_some())
        });
    }
}

/// Rank of a request at the gate, which only distinguishes the least urgent requests: those between
/// pass the queued ones behind them, as the most urgent do.
fn gate_rank(job: &Job) -> u32 {
    u32::from(job.priority.is_last())
}

fn report_change(service: &str, gate: &mut Gate, now: Duration) {
    match gate.take_change(now) {
        None => {}
        Some(Change::Began) => emit!(Event::ServiceSaturated, service = service),
        Some(Change::Ended { length, refused }) => emit!(
            Event::ServiceRelieved,
            service = service,
            refused = refused,
            length_ms = length.as_millis()
        ),
    }
}
