//! Keeps the configuration in force up to date.
//!
//! Revisions come from the table, from changes that peers propagate and, while
//! the table cannot be read, from the configuration sets of peers. The module
//! also holds the task that advances queued calls as time passes.

use tokio::time::{MissedTickBehavior, interval, sleep};
use winch_config::{change::Change, load::load};
use xtra::prelude::*;

use super::{fetch::fetch_newest_set, supervisor::Child};
use crate::{emit, prelude::*};

/// Time between two reads of the head revision.
pub const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Time between two reads of the head revision while a daemon has no configuration.
const INITIAL_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Actor that applies revisions in sequence, from the table or from peers.
#[derive(Debug, xtra::Actor)]
pub struct Updater {
    fleet: Arc<Fleet>,
    /// Highest revision that any peer is known to have.
    peer_revision: u64,
}

/// Reads the head revision and loads the missing revisions, from peers if the table cannot be read.
#[derive(Clone, Copy, Debug)]
pub struct Poll {
    /// A revision that a peer is known to have; 0 if none is known.
    pub known_revision: u64,
}

/// Applies a committed change that a peer sent, if it is the next revision.
#[derive(Clone, Debug)]
pub struct ApplyChange(pub Change);

impl Handler<Poll> for Updater {
    type Return = ();

    async fn handle(&mut self, poll: Poll, _: &mut Context<Self>) {
        let current = self.fleet.snapshot.load().set.clone();
        self.peer_revision = self.peer_revision.max(poll.known_revision);
        match load(&self.fleet.platform, &current).await {
            Ok(set) => {
                self.fleet.install(set);
                self.fleet.record_table_contact();
            }
            Err(error) => {
                emit!(Event::ConfigUnreadable, reason = error);
                // Peers are asked if the daemon starts during an outage or has missed revisions.
                let is_behind = current.revision() == 0 || current.revision() < self.peer_revision;
                if is_behind && let Some(set) = fetch_newest_set(&self.fleet).await {
                    self.fleet.install(set);
                }
            }
        }
    }
}

impl Handler<ApplyChange> for Updater {
    type Return = ();

    async fn handle(&mut self, message: ApplyChange, _: &mut Context<Self>) {
        let mut set = self.fleet.snapshot.load().set.clone();
        if set.apply(&message.0).is_ok() {
            self.fleet.install(set);
        }
    }
}

/// Supervised task that runs the [`Updater`] and polls it.
#[derive(Clone, Debug)]
pub struct PollTask(pub Arc<Fleet>);

impl Child for PollTask {
    fn name(&self) -> &'static str {
        "config"
    }

    async fn run(self) {
        let (address, mailbox) = Mailbox::bounded(64);
        self.0.set_updater(address.clone());
        let fleet = self.0.clone();
        let poll = async {
            while address.send(Poll { known_revision: 0 }).await.is_ok() {
                let is_configured = fleet.snapshot.load().revision() > 0;
                sleep(if is_configured { POLL_INTERVAL } else { INITIAL_POLL_INTERVAL }).await;
            }
        };
        tokio::select! {
            () = xtra::run(mailbox, Updater { fleet: self.0.clone(), peer_revision: 0 }) => {}
            () = poll => {}
        }
    }
}

/// Supervised task that starts and expires queued calls as time passes.
///
/// It also detects pauses of the process and logs when the daemon becomes isolated or rejoins.
#[derive(Clone, Debug)]
pub struct TickTask(pub Arc<Fleet>);

impl Child for TickTask {
    fn name(&self) -> &'static str {
        "ticker"
    }

    async fn run(self) {
        const TICK: Duration = Duration::from_millis(20);
        /// A longer gap between two ticks means that the process was paused.
        const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);
        const METRICS_UPKEEP_INTERVAL: Duration = Duration::from_secs(5);
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last = self.0.now();
        let (mut was_isolated, mut kept_up_at) = (false, last);
        loop {
            ticks.tick().await;
            let now = self.0.now();
            if now - kept_up_at >= METRICS_UPKEEP_INTERVAL {
                kept_up_at = now;
                // The recorder else keeps each sample until the metrics are fetched.
                self.0.metrics.run_upkeep();
            }
            if now - last > PAUSE_THRESHOLD {
                emit!(Event::ProcessPaused, gap_ms = (now - last).as_millis());
                self.0.recover_from_pause(now);
            }
            last = now;
            self.0.tick();
            let is_isolated = self.0.is_isolated();
            if was_isolated != is_isolated {
                was_isolated = is_isolated;
                emit!(if is_isolated { Event::Isolated } else { Event::Rejoined });
            }
        }
    }
}
