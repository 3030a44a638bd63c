//! Finds out whether this daemon reaches the replicas of its services.
//!
//! Each connection to a replica that was opened, or that it did not take, is recorded. While a service is in doubt or out of
//! reach, connections are opened to see if any replica takes one.

use std::collections::HashMap;

use rand::seq::IteratorRandom;
use tokio::{sync::Notify, time::sleep};
use winch_http::client::{Connection, Error};
use winch_route::{
    hash,
    reach::{Moment, Reach, Tally, WINDOW},
};

use crate::{
    catalog::Key, counter, node::Node, opening::Failure, pool::CONNECT_TIMEOUT, prelude::*,
    running_time::timeout,
};

/// Interval of checks of a service that is in doubt.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of replicas that one check tries.
const CHECKED_REPLICAS: usize = 2;
/// Longest wait until it is clear whether a service is within reach.
const CLEARING_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which such a wait looks at the result of the checks.
const CLEARING_INTERVAL: Duration = Duration::from_millis(25);
/// Time after which a reply that has not arrived puts its service in doubt.
pub const LATE_REPLY_TIME: Duration = Duration::from_millis(300);

/// What a daemon knows of its paths to replicas, by service.
#[derive(Debug, Default)]
pub struct Paths {
    services: HashMap<Name, Reach>,
    in_doubt: Arc<Notify>,
}

impl Paths {
    fn service(&mut self, service: &Name) -> &mut Reach {
        self.services.entry(service.clone()).or_default()
    }

    /// Services that need a check.
    fn unchecked(&self) -> Vec<Name> {
        let unchecked = self.services.iter().filter(|(_, reach)| reach.needs_check());
        unchecked.map(|(service, _)| service.clone()).collect()
    }
}

impl<P: Protocol> Node<P> {
    /// Takes an idle connection to `replica` for `call`, or opens a new one; records whether that
    /// succeeds.
    ///
    /// A call without an id always gets a new one, since a late second reply to an earlier request
    /// could not be told from its own.
    ///
    /// # Errors
    /// [`Error::Connect`] if no connection could be opened; nothing was sent.
    pub async fn open(&self, replica: &Replica, call: &Call) -> Result<Connection, Error> {
        if call.id.is_some()
            && let Some(connection) = self.pool.take(replica.address)
        {
            return Ok(connection);
        }
        self.open_new(replica).await
    }

    /// Opens a new connection to `replica`, and records whether that succeeds unless this daemon's own
    /// host has failed.
    ///
    /// # Errors
    /// As [`Self::open()`].
    pub async fn open_new(&self, replica: &Replica) -> Result<Connection, Error> {
        let opened = timeout(CONNECT_TIMEOUT, Connection::connect(replica.address)).await;
        let opened = opened.unwrap_or_else(|_| Err(Error::timed_out()));
        let failure = opened.as_ref().err().and_then(Failure::of_exchange);
        counter::connected(failure.map_or("ok", Failure::name));
        if failure != Some(Failure::Host) {
            self.record_opening(replica, failure);
        }
        opened
    }

    /// Ejects a replica to which no connection could be opened, unless this daemon's own host has
    /// failed.
    pub fn eject_unopened(&self, key: Key, replica: &Replica, error: &Error) {
        if Failure::of_exchange(error) != Some(Failure::Host) {
            self.eject(key, replica, &error.to_string());
        }
    }

    fn record_opening(&self, replica: &Replica, failure: Option<Failure>) {
        let service = &replica.service;
        let (now, known) = (self.moment(), self.catalog().serving(service).count());
        let mut paths = self.paths();
        let reach = paths.service(service);
        if reach.record(hash::name(&replica.id), failure.is_none(), known, now) {
            let is_isolated = reach.is_isolated();
            let event = if is_isolated { Event::ServiceOutOfReach } else { Event::ServiceReached };
            let Tally { opened, failed } = reach.tally();
            emit!(
                event,
                service = service,
                replicas = known,
                opened = opened,
                failed = failed,
                last = failure.map_or("ok", Failure::name),
                paused = self.pulse.was_paused(Instant::now(), WINDOW),
            );
        }
        if reach.needs_check() {
            paths.in_doubt.notify_one();
        }
    }

    fn moment(&self) -> Moment {
        let uptime = self.uptime();
        Moment { uptime, running: uptime.saturating_sub(self.pulse.lost(Instant::now())) }
    }

    /// Records that a reply of a replica of `service` is late.
    pub fn doubt_paths(&self, service: &Name) {
        let mut paths = self.paths();
        if paths.service(service).doubt(self.uptime()) {
            paths.in_doubt.notify_one();
        }
    }

    /// Waits while it is not clear whether this daemon reaches a replica of `service`.
    pub async fn wait_paths_clear(&self, service: &str) {
        let deadline = Instant::now() + CLEARING_TIMEOUT;
        let is_unclear = || {
            let paths = self.paths();
            paths.services.get(service).is_some_and(|r| r.needs_check() && !r.is_isolated())
        };
        while is_unclear() && Instant::now() < deadline {
            sleep(CLEARING_INTERVAL).await;
        }
    }

    /// Whether this daemon does not reach most replicas of `service`.
    pub fn is_isolated(&self, service: &str) -> bool {
        self.paths().services.get(service).is_some_and(Reach::is_isolated)
    }
}

/// Checks services that are in doubt or out of reach, for as long as the daemon runs.
pub async fn run<P: Protocol>(node: Arc<Node<P>>) {
    let in_doubt = node.paths().in_doubt.clone();
    loop {
        let unchecked = node.paths().unchecked();
        if unchecked.is_empty() {
            in_doubt.notified().await;
            continue;
        }
        let checks = unchecked.iter().map(|service| check(&node, service));
        futures_util::future::join_all(checks).await;
        sleep(CHECK_INTERVAL).await;
    }
}

/// Opens connections to a few replicas of a service, which records whether that succeeds.
async fn check<P: Protocol>(node: &Node<P>, service: &Name) {
    let replicas = {
        let catalog = node.catalog();
        let serving = catalog.serving(service).map(|(_, entry)| entry.replica.clone());
        serving.choose_multiple(&mut node.rng(), CHECKED_REPLICAS)
    };
    if replicas.is_empty() {
        // The replicas have left the list: there is nothing to reach.
        node.paths().services.remove(service);
        return;
    }
    let openings = replicas.iter().map(|replica| node.open_new(replica));
    futures_util::future::join_all(openings).await;
}
