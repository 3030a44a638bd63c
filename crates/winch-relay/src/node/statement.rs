//! What replicas say of themselves in their replies, and what other daemons tell of it.

use rand::Rng;
use winch_http::head::Reply;

use crate::{
    catalog::{Drain, Entry},
    counter, forward,
    prelude::*,
    protocol::{ReplyMeta, Statement},
};

impl<P: Protocol> Node<P> {
    /// Takes what a replica says of itself in a reply, whatever the reply answers.
    pub fn apply_reply(&self, replica: &Replica, meta: &ReplyMeta, reply: &Reply) {
        // A misdirected request was answered by another replica, which speaks of itself.
        if reply.status == http::StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        self.apply_statement(replica, &meta.statement);
        let is_refusal = meta.not_run && reply.status == http::StatusCode::SERVICE_UNAVAILABLE;
        let pause = match (meta.statement.pause, meta.statement.max_refusals) {
            (Some(pause), _) => Some(pause),
            (None, Some(max_refusals)) if is_refusal => {
                Some(self.refusal_pause(replica, max_refusals))
            }
            _ => None,
        };
        if let Some(pause) = pause {
            self.catalog().pause(replica, Instant::now() + pause);
            counter::replica_paused();
        }
    }

    /// Takes what a replica says of itself in a reply that another daemon has passed on. A pause
    /// is meant for that daemon.
    pub fn apply_forwarded_reply(&self, reply: &Reply) {
        let Some(id) = forward::decode_replica(reply) else { return };
        let replica = {
            let catalog = self.catalog();
            let entry = catalog.key(id).and_then(|key| catalog.get(key));
            entry.map(|entry| entry.replica.clone())
        };
        if let Some(replica) = replica {
            let meta = self.protocol.decode_reply_meta(reply);
            self.apply_statement(&replica, &meta.statement);
        }
    }

    fn apply_statement(&self, replica: &Replica, statement: &Statement) {
        if statement.draining {
            self.apply_drain(&Drain::from(replica));
        }
        self.apply_limit(replica, statement.limit);
    }

    /// Gives a replica no new requests, because it has announced that it drains.
    pub fn apply_drain(&self, drain: &Drain) {
        // Until the list may say so, too, the replica serves what no other one can serve.
        let last_resort_until = Instant::now() + self.tuning().list_interval;
        let transition = self.catalog().start_drain(drain, last_resort_until);
        self.record(transition.into_iter().collect());
    }

    /// How long this daemon sends nothing to a replica that has refused a request, so that all
    /// daemons together have no more than `max_refusals` refused in a second.
    fn refusal_pause(&self, replica: &Replica, max_refusals: f64) -> Duration {
        /// Longest pause after one refusal.
        const MAX_PAUSE: Duration = Duration::from_secs(5);
        let known = self.catalog().serving(&replica.service).count();
        let sharers = self.sharers(&replica.service, known);
        let pause = Duration::try_from_secs_f64(sharers / max_refusals);
        pause.unwrap_or(MAX_PAUSE).min(MAX_PAUSE)
    }

    /// Expected number of daemons that use a replica of `service`: those that know it.
    fn sharers(&self, service: &str, known: usize) -> f64 {
        let daemons = f64::from(self.daemons());
        let total = self.fleet().replicas(service).map_or(known as f64, f64::from);
        daemons * (known as f64 / total.max(1.0)).min(1.0)
    }

    /// Records the limit that a replica has named, in requests a second from all daemons together;
    /// `None` if it names none.
    fn apply_limit(&self, replica: &Replica, limit: Option<f64>) {
        let key = {
            let catalog = self.catalog();
            let Some(key) = catalog.key(&replica.id) else { return };
            let is_limited = catalog.get(key).is_some_and(Entry::is_limited);
            if limit.is_none() && !is_limited {
                return;
            }
            key
        };
        let known = self.catalog().serving(&replica.service).count();
        let sharers = self.sharers(&replica.service, known);
        let (now, phase) = (Instant::now(), self.rng().random());
        let was_limited = self.catalog().set_limit(key, limit, sharers, now, phase);
        if was_limited != limit.is_some() {
            let limit = limit.map_or("-".to_owned(), |limit| limit.to_string());
            emit!(Event::ReplicaLimited, replica = replica.id, limit = limit, sharers = sharers);
        }
    }

    /// Whether replicas of `service` name a limit or have asked for a pause, so that a request may
    /// find none to use.
    pub fn is_limited(&self, service: &str) -> bool {
        let now = Instant::now();
        let is_limited = |entry: &Entry| entry.is_limited() || entry.is_paused(now);
        self.catalog().serving(service).any(|(_, entry)| is_limited(entry))
    }
}
