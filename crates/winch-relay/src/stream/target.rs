//! Chooses the replica at which a stream starts or resumes.

use tokio::{io::AsyncWrite, time::sleep};

use super::{Session, Target};
use crate::{
    config::Engine,
    kv_snapshot::Refresher,
    placement::{self, Draw},
    prelude::*,
    probe,
};

/// Delay after each round of load probes in which no replica could be chosen; placement
/// fails after the last one.
const PLACEMENT_BACKOFF: [Duration; 6] = [
    Duration::from_millis(5),
    Duration::from_millis(20),
    Duration::from_millis(60),
    Duration::from_millis(150),
    Duration::from_millis(300),
    Duration::from_millis(500),
];
/// Time after a daemon's start within which its callers repeat requests that broke off with its
/// predecessor.
const RESTART_TIME: Duration = Duration::from_secs(5);
/// KV cache assumed for a request that does not state its size, in tokens.
const DEFAULT_KV_TOKENS: u64 = 1_000;

impl<P: Protocol, W: AsyncWrite + Unpin> Session<'_, P, W> {
    /// KV cache that the run may need, in tokens.
    fn kv_tokens(&self) -> u64 {
        self.job.call.size.map_or(DEFAULT_KV_TOKENS, |size| size.total())
    }

    /// Capabilities of the service's engines; `None` for a plain service.
    pub(super) fn engine(&self) -> Option<Engine> {
        self.node.config()?.service(&self.job.service)?.engine
    }

    /// Whether a run that starts from the prompt keeps a copy of its KV cache at another
    /// replica.
    fn keeps_copy(&self) -> bool {
        let engine = self.engine();
        self.job.route.semantics.may_repeat()
            && self.job.call.id.is_some()
            && engine.is_some_and(|engine| engine.copies)
    }

    /// Chooses the replica of the next attempt: the holder of the run's KV cache copy if it
    /// may serve the request, else the replica with the least cost. `None` if there is none.
    pub(super) async fn choose_target(&mut self) -> Option<Target> {
        if let Some(target) = self.target_from_copy() {
            return Some(target);
        }
        self.place_with_retries().await
    }

    /// The holder of the newest copy, if it may serve the request. The session forgets the
    /// copy in any case.
    fn target_from_copy(&mut self) -> Option<Target> {
        let snapshot = self.refresher.take().and_then(Refresher::into_copy);
        let copy = snapshot.or(self.copy.take())?;
        if self.node.rule(&self.job.service, self.job.cohort).excludes(&copy.replica.version) {
            return None;
        }
        let now = Instant::now();
        let mut catalog = self.node.catalog();
        let key = catalog.key(&copy.replica.id)?;
        let entry = catalog.get(key)?;
        if entry.replica.draining || entry.is_ejected(now) {
            return None;
        }
        let replica = entry.replica.clone();
        if !catalog.take_slot(key, now) {
            return None;
        }
        let broken_dc = self.broken_dc.as_deref().unwrap_or_default();
        let rng = &mut self.node.rng();
        let copy_to = placement::draw_copy_holder(&catalog, &replica, broken_dc, now, rng);
        Some(Target { key, replica, copy_from: Some(copy), copy_to })
    }

    /// Probes replicas in rounds until one can be chosen, because several may be down at the
    /// same time. `None` after the last round.
    async fn place_with_retries(&mut self) -> Option<Target> {
        for (round, delay) in (0..).zip(PLACEMENT_BACKOFF) {
            let target = self.place_once(round).await;
            // Another daemon may reach a replica although this one does not.
            if target.is_some() || self.job.needs_forwarding(self.node, self.trace) {
                return target;
            }
            sleep(delay).await;
        }
        None
    }

    /// Whether a replica may have read the prompt for an earlier request of the caller: the
    /// caller resumes a stream, or this daemon was restarted and its callers repeat what they
    /// have lost.
    fn may_be_cached(&self) -> bool {
        self.job.call.last_event.is_some() || self.node.uptime() < RESTART_TIME
    }

    /// Probes one round of candidates and returns the one with the least cost.
    async fn place_once(&self, round: u32) -> Option<Target> {
        let (node, service) = (self.node, &self.job.service);
        let dc = &node.settings.dc;
        let candidates = {
            let (rule, excluded) = (node.rule(service, self.job.cohort), &self.trace.excluded);
            let is_eligible =
                |replica: &Replica| rule.allows(replica) && !excluded.contains(&replica.id);
            let (now, rng) = (Instant::now(), &mut node.rng());
            let draw = Draw { service, dc, affinity: self.job.fingerprint().0, round };
            placement::draw_candidates(&node.catalog(), draw, is_eligible, now, rng)
        };
        let only_candidate = (candidates.len() == 1).then(|| candidates[0].clone());
        let prompt = if self.may_be_cached() { &self.job.call.prompt[..] } else { &[] };
        let answers = probe::request_reports(node, candidates, prompt).await;
        let tokens = self.kv_tokens();
        let cost = |answer: &probe::Answer| {
            let starting = node.catalog().get(answer.key).map_or(0, |entry| entry.starting);
            let is_local = answer.replica.dc == *dc;
            placement::stream_cost(&answer.report, starting, is_local, tokens, answer.cached)
        };
        let mut ranked: Vec<_> = answers.iter().filter(|a| !a.report.draining).collect();
        ranked.sort_by(|a, b| cost(a).total_cmp(&cost(b)));
        let now = Instant::now();
        let best = ranked.into_iter().find(|answer| node.catalog().take_slot(answer.key, now));
        let Some(best) = best else {
            // A single candidate may still serve without a report in time or while it
            // drains, unless it has left the catalog, for example because another
            // incarnation has replaced it.
            let (key, replica) = only_candidate?;
            if !node.catalog().take_slot(key, now) {
                return None;
            }
            return Some(Target { key, replica, copy_from: None, copy_to: None });
        };
        let copy_to = if self.keeps_copy() {
            let reports = answers.iter().map(|answer| (&answer.replica, &answer.report));
            placement::choose_copy_holder(reports, &best.replica, tokens).or_else(|| {
                let (now, rng) = (Instant::now(), &mut node.rng());
                placement::draw_copy_holder(&node.catalog(), &best.replica, "", now, rng)
            })
        } else {
            None
        };
        let report = best.report;
        emit!(
            Event::ReplicaChosen,
            request = self.job.call.label(),
            replica = best.replica.id,
            dc = best.replica.dc,
            asked = answers.len(),
            waiting = report.waiting,
            running = report.running,
            prefilling = report.prefilling,
            free_tokens = report.free_tokens(),
            cached = format!("{:.2}", best.cached),
            copy = copy_to.as_ref().map_or("-", |copy| &*copy.id)
        );
        Some(Target { key: best.key, replica: best.replica.clone(), copy_from: None, copy_to })
    }
}
