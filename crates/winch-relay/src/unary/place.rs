//! Finds a replica for the next attempt of a lookup or an order.

use winch_http::client::Connection;

use super::{Relay, attempt::Target};
use crate::{counter, forward, job::Outcome, placement, prelude::*};

/// What was found for the next attempt.
pub(super) enum Place {
    /// A replica with a connection to it.
    Open(Target, Connection),
    /// A replica to which no connection could be opened; nothing was sent.
    Unreachable,
    /// Nothing: no replica is left, or no retry.
    Nowhere,
    /// Other daemons have decided the request.
    Forwarded(Outcome),
}

impl<P: Protocol> Relay<'_, P> {
    /// Finds a replica for the next attempt and connects to it, or passes the request on to other
    /// daemons if this one reaches no replica.
    pub(super) async fn find_place(&mut self) -> Place {
        if self.job.needs_forwarding(self.node, self.trace)
            && let Some(outcome) = forward::relay(self.node, self.job, self.trace).await
        {
            return Place::Forwarded(outcome);
        }
        let Some(target) = self.choose_target() else { return Place::Nowhere };
        let Target { key, replica } = &target;
        self.trace.excluded.push(replica.id.clone());
        match self.node.open(replica, &self.job.call).await {
            Ok(connection) => Place::Open(target, connection),
            Err(error) => {
                let cause = error.to_string();
                self.trace.record(replica, &cause);
                self.node.eject_unopened(*key, replica, &error);
                self.connect_failures += 1;
                counter::retried("not_sent");
                Place::Unreachable
            }
        }
    }

    /// A replica for the next attempt, for which a retry was taken from the budget if the request has
    /// been sent before.
    fn choose_target(&mut self) -> Option<Target> {
        let (service, dc, now) = (&self.job.service, &self.node.settings.dc, Instant::now());
        let choice = {
            let rule = self.node.rule(service, self.job.cohort);
            let excluded = &self.trace.excluded;
            let is_eligible =
                |replica: &Replica| rule.allows(replica) && !excluded.contains(&replica.id);
            let mut catalog = self.node.catalog();
            let rng = &mut self.node.rng();
            let choice = placement::choose_replica(&catalog, service, dc, is_eligible, now, rng);
            choice.filter(|(key, _)| catalog.take_slot(*key, now))
        };
        let Some((key, replica)) = choice else {
            if self.trace.sends == 0 && self.node.is_limited(service) {
                self.code = Code::Limited;
            }
            return None;
        };
        if self.trace.sends > 0 && !self.node.spend_retry(service) {
            self.code = Code::NoBudget;
            return None;
        }
        Some(Target { key, replica })
    }
}
