//! Chooses the replica at which a stream starts or resumes.

use tokio::{io::AsyncWrite, time::sleep};

use winch_route::engine;

use super::{
    Choice, Estimate, Session, Target,
    admission::Admission,
    survey::{Rated, Survey},
};
use crate::{
    catalog::Key, config::Engine, copy_holder::Wanted, counter, kv_snapshot::Refresher, prelude::*,
    protocol::KvCopy,
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
/// KV cache assumed for a request that does not state its size, in tokens.
const DEFAULT_KV_TOKENS: u64 = 1_000;

impl<P: Protocol, W: AsyncWrite + Unpin> Session<'_, P, W> {
    /// KV cache that the run may need, in tokens.
    pub(super) fn kv_tokens(&self) -> u64 {
        self.job.call.size.map_or(DEFAULT_KV_TOKENS, |size| size.total())
    }

    /// Capabilities of the service's engines; `None` for a plain service.
    pub(super) fn engine(&self) -> Option<Engine> {
        self.node.config()?.service(&self.job.service)?.engine
    }

    /// Whether a run that starts from the prompt keeps a copy of its KV cache at another
    /// replica.
    pub(super) fn keeps_copy(&self) -> bool {
        let engine = self.engine();
        self.job.route.semantics.may_repeat()
            && self.job.call.id.is_some()
            && engine.is_some_and(|engine| engine.copies)
    }

    /// Chooses the replica of the next attempt: the holder of the run's KV cache copy if it
    /// may serve the request, else the replica with the least cost. `None` if there is none.
    pub(super) async fn choose_target(&mut self) -> Choice {
        if let Some(copy) = self.take_copy()
            && let Some(target) = self.target_from_copy(copy).await
        {
            return Choice::Target(Some(target));
        }
        match self.wait_for_room().await {
            Admission::Started(target) => Choice::Target(Some(target)),
            Admission::Refused(outcome) => Choice::Refused(outcome),
            Admission::Passed => {
                let target = self.place_with_retries().await;
                match self.check_admission(target.as_ref()) {
                    Some(refused) => Choice::Refused(refused),
                    None => Choice::Target(target),
                }
            }
        }
    }

    /// The newest copy of the run.
    pub(super) fn newest_copy(&self) -> Option<KvCopy> {
        let snapshot = self.refresher.as_ref().and_then(Refresher::copy);
        snapshot.or_else(|| self.copy.clone())
    }

    /// Takes the newest copy, which the session forgets.
    pub(super) fn take_copy(&mut self) -> Option<KvCopy> {
        let snapshot = self.refresher.take().and_then(Refresher::into_copy);
        let copy = self.copy.take().filter(|_| !self.is_copy_refused);
        snapshot.or(copy)
    }

    /// The holder of `copy`, if it may serve the request.
    pub(super) fn usable_holder(&self, copy: &KvCopy) -> Option<(Key, Arc<Replica>)> {
        if self.node.rule(&self.job.service, self.job.cohort).excludes(&copy.replica.version) {
            return None;
        }
        let (catalog, now) = (self.node.catalog(), Instant::now());
        let key = catalog.key(&copy.replica.id)?;
        let entry = catalog.get(key)?;
        let is_unusable = entry.replica.draining
            || entry.is_ejected(now)
            || entry.is_paused(now)
            || entry.is_full(now);
        (!is_unusable).then(|| (key, entry.replica.clone()))
    }

    /// The holder of `copy`, if it may serve the request, and a holder for the next copy.
    pub(super) async fn target_from_copy(&self, copy: KvCopy) -> Option<Target> {
        let (key, replica) = self.usable_holder(&copy)?;
        if !self.node.catalog().take_slot(key, Instant::now()) {
            return None;
        }
        let copy_to = if self.keeps_copy() {
            let broken_dc = self.broken_dc.as_deref().unwrap_or_default();
            let copy_to = self.wanted_copy(&replica, broken_dc).ask(self.node).await;
            if copy_to.is_none() {
                counter::copy_skipped("no_room");
            }
            copy_to
        } else {
            None
        };
        Some(Target { key, replica, copy_from: Some(copy), copy_to, estimate: None })
    }

    /// The copy of the run at `source` that is wanted when it starts.
    fn wanted_copy<'b>(&self, source: &'b Replica, excluded_dc: &'b str) -> Wanted<'b> {
        let room = self.kv_tokens();
        Wanted { source, room, excluded_dc, service: self.service() }
    }

    /// Chooses the holder of the copy of a run that starts at `best`: the one with the most
    /// uncommitted KV cache among those that were asked, else a random one that was not asked.
    /// `None` if the run keeps no copy or gets it later.
    fn choose_copy_holder(&self, survey: &Survey, best: &Rated) -> Option<Arc<Replica>> {
        if !self.keeps_copy() {
            return None;
        }
        let source = &best.answer.replica;
        let wanted = self.wanted_copy(source, "");
        let answers = || survey.rated.iter().map(|rated| &rated.answer);
        let reports = answers().map(|answer| (&answer.replica, &answer.report));
        let holder = wanted.choose(reports);
        if holder.is_some() {
            return holder;
        }
        let is_asked = |replica: &Replica| answers().any(|answer| answer.replica.id == replica.id);
        let holder = wanted.draw(self.node, is_asked);
        if holder.is_none() {
            counter::copy_skipped("no_room");
        }
        holder
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

    /// Probes one round of candidates, and further ones if those are loaded, and returns the one
    /// with the least cost.
    async fn place_once(&self, round: u32) -> Option<Target> {
        let candidates = self.draw(round);
        let must_start = self.must_start();
        let only_candidate = (candidates.len() == 1 && !must_start).then(|| candidates[0].clone());
        let survey = self.survey(candidates, true).await;
        let now = Instant::now();
        let is_eligible = |rated: &Rated| !must_start || rated.forecast.is_open;
        let Some(target) = self.take_best(&survey, is_eligible) else {
            // A single candidate may still serve without a report in time, unless it has left
            // the catalog, for example because another incarnation has replaced it, or wants no
            // more requests.
            let (key, replica) = only_candidate?;
            let mut catalog = self.node.catalog();
            let accepting = catalog.accepting(&self.job.service, now);
            let is_accepting = accepting.iter().any(|(accepting, _)| *accepting == key);
            if !is_accepting || !catalog.take_slot(key, now) {
                return None;
            }
            return Some(Target { key, replica, copy_from: None, copy_to: None, estimate: None });
        };
        Some(target)
    }

    /// Whether the next send goes only to a replica that can start the stream at once: it is the last
    /// one of a stream that has begun, and half of the time since its last event is left.
    fn must_start(&self) -> bool {
        let (now, deadline) = (Instant::now(), self.job.deadline(self.node));
        self.has_forwarded
            && self.trace.sends + 1 >= self.job.route.max_attempts
            && now - self.last_event_at < deadline.saturating_duration_since(now)
    }

    /// Probes one round of candidates, and `further` ones if those are loaded; returns the best one
    /// if the stream can start there without queueing and leaves room to others.
    pub(super) async fn place_if_open(&self, further: bool) -> Option<Target> {
        let survey = self.survey(self.draw(0), further).await;
        self.take_best(&survey, |rated| engine::has_reserve(&rated.forecast))
    }

    /// The replica with the least cost among those that are eligible, and the holder of the copy.
    fn take_best(&self, survey: &Survey, is_eligible: impl Fn(&Rated) -> bool) -> Option<Target> {
        let now = Instant::now();
        let takes = |rated: &&Rated| {
            is_eligible(rated) && self.node.catalog().take_slot(rated.answer.key, now)
        };
        let best = survey.rated.iter().find(takes)?;
        if !best.forecast.has_room {
            counter::placed_without_room();
        }
        let copy_to = self.choose_copy_holder(survey, best);
        let estimate = survey.estimate(&best.forecast);
        self.log_choice(survey, best, &estimate, copy_to.as_deref());
        let (key, replica) = (best.answer.key, best.answer.replica.clone());
        Some(Target { key, replica, copy_from: None, copy_to, estimate: Some(estimate) })
    }

    fn log_choice(
        &self,
        survey: &Survey,
        best: &Rated,
        estimate: &Estimate,
        copy_to: Option<&Replica>,
    ) {
        let Rated { answer, forecast } = best;
        let (replica, report) = (&answer.replica, &answer.report);
        emit!(
            Event::ReplicaChosen,
            request = self.job.call.label(),
            replica = replica.id,
            dc = replica.dc,
            rank = self.job.priority.rank,
            ranks = self.job.priority.ranks,
            asked = survey.rated.len(),
            waiting = report.waiting,
            running = report.running,
            prefilling = report.prefilling,
            free_tokens = report.free_tokens(),
            has_room = forecast.has_room,
            is_open = estimate.is_open,
            first_event_ms = estimate.first_event.as_millis(),
            urgent_first_event_ms = estimate.urgent_first_event.as_millis(),
            cached = format!("{:.2}", answer.cached),
            copy = copy_to.map_or("-", |copy| &*copy.id)
        );
    }
}
