//! Version moves as the node applies them to its replicas.

use rand::Rng;
use winch_move::evidence::Cohort;
use winch_roster::position::Position;

use super::Node;
use crate::{
    moves::{Progress, Rule, Spec, history::History},
    prelude::*,
};

impl<P: Protocol> Node<P> {
    /// Starts a version move, unless this or a later one of the service is known.
    pub fn start_move(&self, spec: Spec) {
        let (service, to, revision) = (spec.service.clone(), spec.to.clone(), spec.revision);
        if self.rollouts().start(spec) {
            emit!(Event::MoveRequested, name = service, to = to, revision = revision);
            self.learn_initial(&service);
            self.changed.send_replace(());
        }
    }

    /// Learns which versions of a service served before its first instruction, if that is not known.
    pub fn learn_initial(&self, service: &str) {
        let mut rollouts = self.rollouts();
        if !rollouts.lacks_initial(service) {
            return;
        }
        let catalog = self.catalog();
        let versions = catalog.serving(service).map(|(_, entry)| entry.replica.version.clone());
        let has_changed = rollouts.learn_initial(service, versions);
        drop((rollouts, catalog));
        if has_changed {
            self.changed.send_replace(());
        }
    }

    /// Applies what another daemon or the store has of the instructions before the one with this revision.
    pub fn apply_history(&self, service: &str, revision: Position, history: &History) {
        if self.rollouts().apply_history(service, revision, history) {
            let rejected = self.rejected_versions(service);
            emit!(Event::MoveHistory, name = service, rejected = rejected.join(","));
            self.changed.send_replace(());
        }
    }

    /// The versions of a service that were requested, and not established.
    fn rejected_versions(&self, service: &str) -> Vec<Name> {
        let rollouts = self.rollouts();
        rollouts
            .get(service)
            .map(|rollout| rollout.history().versions().rejected)
            .unwrap_or_default()
    }

    /// Applies progress of a version move that was read from the store, received from a peer
    /// or found by this daemon.
    pub fn apply_progress(&self, progress: Progress) {
        let (service, to) = (progress.spec.service.clone(), progress.spec.to.clone());
        let (stage, verdict) = (progress.stage, progress.verdict);
        if self.rollouts().apply(progress) {
            emit!(
                Event::MoveUpdated,
                name = service,
                to = to,
                stage = stage,
                verdict = verdict.map_or("-".to_owned(), |verdict| format!("{verdict:?}"))
            );
            self.changed.send_replace(());
        }
    }

    /// Draws whether the old or the new version serves a new request while its service is
    /// being moved; [`Cohort::Old`] if it is not.
    pub fn draw_cohort(&self, service: &str) -> Cohort {
        let rollouts = self.rollouts();
        if rollouts.get(service).is_none() {
            return Cohort::Old;
        }
        let (number, catalog) = (self.rng().random(), self.catalog());
        let serving = catalog.serving(service).map(|(_, entry)| &*entry.replica);
        rollouts.draw(service, number, serving, Instant::now())
    }

    /// The replicas of `service` that may serve a request that was drawn for `cohort`.
    pub fn rule(&self, service: &str, cohort: Cohort) -> Rule {
        let rollouts = self.rollouts();
        if rollouts.get(service).is_none() {
            return Rule::Any;
        }
        let catalog = self.catalog();
        let serving = catalog.serving(service).map(|(_, entry)| &*entry.replica);
        rollouts.rule(service, cohort, serving, Instant::now())
    }
}
