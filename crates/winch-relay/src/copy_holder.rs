//! Chooses the replica that holds the KV cache copy of a run.

use winch_route::engine::Service;

use crate::{
    placement,
    prelude::*,
    probe::{self, Answer},
    replica::Report,
};

/// Number of replicas that are asked for their load before a copy is placed for a run that
/// has its replica already.
const CANDIDATES: usize = 4;

/// The copy for which a holder is chosen.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// The replica that runs the request.
    pub source: &'a Replica,
    /// KV cache that the holder must have uncommitted, in tokens.
    pub room: u64,
    /// A data centre that is not to hold the copy, in addition to that of the source; empty if
    /// there is none.
    pub excluded_dc: &'a str,
    /// What is known of the service's engines.
    pub service: Service,
}

impl Wanted<'_> {
    /// The holder with the most uncommitted KV cache among those that have sent a report.
    pub fn choose<'b>(
        &self,
        reports: impl Iterator<Item = (&'b Arc<Replica>, &'b Report)>,
    ) -> Option<Arc<Replica>> {
        let eligible = reports.filter(|(replica, _)| *replica.dc != *self.excluded_dc);
        placement::choose_copy_holder(eligible, self.source, self.room, &self.service)
    }

    /// A random holder among the replicas that are not in `asked`.
    pub fn draw<P: Protocol>(
        &self,
        node: &Node<P>,
        is_asked: impl Fn(&Replica) -> bool,
    ) -> Option<Arc<Replica>> {
        let (now, rng) = (Instant::now(), &mut node.rng());
        let is_eligible = |replica: &Replica| !is_asked(replica);
        let drawn = placement::draw_copy_holders(
            &node.catalog(),
            self.source,
            self.excluded_dc,
            is_eligible,
            1,
            now,
            rng,
        );
        drawn.into_iter().next().map(|(_, replica)| replica)
    }

    /// Asks a few replicas for their load and chooses among them. A random replica is chosen if
    /// none of them answers; `None` if none has room.
    pub async fn ask<P: Protocol>(&self, node: &Arc<Node<P>>) -> Option<Arc<Replica>> {
        let candidates = {
            let (now, rng) = (Instant::now(), &mut node.rng());
            let (catalog, any) = (node.catalog(), |_: &Replica| true);
            let dc = self.excluded_dc;
            placement::draw_copy_holders(&catalog, self.source, dc, any, CANDIDATES, now, rng)
        };
        if candidates.is_empty() {
            return None;
        }
        let answers: Vec<Answer> = probe::request_reports(node, candidates, &[]).await;
        if answers.is_empty() {
            return self.draw(node, |_| false);
        }
        self.choose(answers.iter().map(|answer| (&answer.replica, &answer.report)))
    }
}
