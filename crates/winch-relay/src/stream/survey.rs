//! Asks candidates for their load, in as many rounds as the load is worth.

use tokio::io::AsyncWrite;
use winch_route::engine::{self, Forecast, Request, Service};

use super::{Estimate, Session};
use crate::{
    catalog::Key,
    counter,
    placement::{self, Candidate, Draw},
    prelude::*,
    probe::{self, Answer},
};

/// Time after a daemon's start within which its callers repeat requests that broke off with its
/// predecessor.
const RESTART_TIME: Duration = Duration::from_secs(5);

/// A replica that has answered, and what the stream has to expect there.
pub(super) struct Rated {
    pub(super) answer: Answer,
    pub(super) forecast: Forecast,
}

/// The answers of one placement.
pub(super) struct Survey {
    /// Replicas that take new requests, the best first.
    pub(super) rated: Vec<Rated>,
    pub(super) request: Request,
    pub(super) service: Service,
}

impl Survey {
    /// What the stream has to expect, as times.
    pub(super) fn estimate(&self, forecast: &Forecast) -> Estimate {
        let unit = self.service.typical.prompt_time();
        let to_time = |units: f64| {
            Duration::try_from_secs_f64(unit.as_secs_f64() * units).unwrap_or(Duration::MAX)
        };
        Estimate {
            unloaded: to_time(forecast.unloaded),
            first_event: to_time(forecast.first_event),
            urgent_first_event: to_time(forecast.urgent_first_event),
            is_measured: self.service.typical.is_measured(),
            is_open: forecast.is_open,
            is_idle: forecast.prompts == 0,
            prompt_units: self.request.prompt_units,
        }
    }

    /// Whether one more round is worth its reports, after `further` ones beyond the first.
    fn needs_further_round(&self, further: u32) -> bool {
        let forecasts: Vec<_> = self.rated.iter().map(|rated| rated.forecast).collect();
        let best = forecasts.first();
        best.is_some_and(|best| engine::needs_further_round(best, &forecasts, further))
    }
}

impl<P: Protocol, W: AsyncWrite + Unpin> Session<'_, P, W> {
    /// What is known of the service's engines.
    pub(super) fn service(&self) -> Service {
        let typical = self.node.catalog().typical(&self.job.service);
        let engine = self.engine();
        Service {
            slots: engine.map_or(0, |engine| engine.slots),
            stride: engine.map_or(1.0, |engine| engine.tokens_per_event),
            typical,
        }
    }

    /// Draws the candidates of the first round; `round` is the number of earlier draws in which no
    /// replica could be chosen.
    pub(super) fn draw(&self, round: u32) -> Vec<(Key, Arc<Replica>)> {
        let (node, service) = (self.node, &self.job.service);
        let rule = node.rule(service, self.job.cohort);
        let is_eligible = |replica: &Replica| rule.allows(replica) && !self.is_excluded(replica);
        let (now, rng) = (Instant::now(), &mut node.rng());
        let affinity = self.job.fingerprint().0;
        let draw = Draw { service, dc: &node.settings.dc, affinity, round };
        placement::draw_candidates(&node.catalog(), draw, is_eligible, now, rng)
    }

    /// Whether the stream does not go to `replica`, unless that holds its copy.
    fn is_excluded(&self, replica: &Replica) -> bool {
        self.trace.excluded.contains(&replica.id) || self.refused_by.as_ref() == Some(&replica.id)
    }

    /// Draws the candidates of a further round.
    fn draw_further(&self, asked: &[Key]) -> Vec<(Key, Arc<Replica>)> {
        let (node, service) = (self.node, &self.job.service);
        let rule = node.rule(service, self.job.cohort);
        let is_eligible = |replica: &Replica| rule.allows(replica) && !self.is_excluded(replica);
        let (now, rng) = (Instant::now(), &mut node.rng());
        placement::draw_further(&node.catalog(), service, asked, is_eligible, now, rng)
    }

    /// Asks the candidates, and with `may_ask_further` further ones while those that have answered
    /// are loaded.
    pub(super) async fn survey(
        &self,
        candidates: Vec<(Key, Arc<Replica>)>,
        may_ask_further: bool,
    ) -> Survey {
        let service = self.service();
        let prompt_tokens = self.job.call.size.map(|size| size.prompt_tokens);
        let request = Request {
            tokens: self.kv_tokens(),
            prompt_units: service.typical.prompt_units(prompt_tokens),
            level: self.job.priority.level(false),
        };
        let mut asked: Vec<Key> = candidates.iter().map(|(key, _)| *key).collect();
        let mut survey = Survey { rated: Vec::new(), request, service };
        self.ask(candidates, &mut survey).await;
        let may_ask_further = may_ask_further && !self.node.is_saturated(self.job);
        let mut further = 0;
        while may_ask_further && survey.needs_further_round(further) {
            let candidates = self.draw_further(&asked);
            if candidates.is_empty() {
                break;
            }
            asked.extend(candidates.iter().map(|(key, _)| *key));
            self.ask(candidates, &mut survey).await;
            further += 1;
        }
        counter::placed(1 + further);
        survey
    }

    /// Requests the reports of one round, and adds the answers of replicas that do not drain.
    async fn ask(&self, candidates: Vec<(Key, Arc<Replica>)>, survey: &mut Survey) {
        let prompt = if self.may_be_cached() { &self.job.call.prompt[..] } else { &[] };
        let answers = probe::request_reports(self.node, candidates, prompt).await;
        let (mut catalog, now) = (self.node.catalog(), Instant::now());
        let dc = &self.node.settings.dc;
        let Survey { rated, request, service } = &mut *survey;
        rated.extend(answers.into_iter().filter(|a| !a.report.draining).map(|answer| {
            let Answer { key, replica, report, cached } = &answer;
            catalog.record_waiting(*key, report.waiting);
            let candidate = Candidate { key: *key, replica, report, cached: *cached };
            let forecast = placement::forecast(&catalog, candidate, dc, request, service, now);
            Rated { answer, forecast }
        }));
        survey.rated.sort_by(|a, b| a.forecast.cost.total_cmp(&b.forecast.cost));
    }

    /// Whether a replica may have read the prompt for an earlier request of the caller: the
    /// caller resumes a stream, or this daemon was restarted and its callers repeat what they
    /// have lost.
    fn may_be_cached(&self) -> bool {
        self.job.call.last_event.is_some() || self.node.uptime() < RESTART_TIME
    }
}
