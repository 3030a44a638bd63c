//! Keeps the configuration at the head.

use tokio::time::{MissedTickBehavior, interval, sleep};
use winch_config::{change::Change, load::load};
use xtra::prelude::*;

use super::{fetch::fetch_newest_set, supervisor::Child};
use crate::{emit, prelude::*};

/// Time between two looks at the head.
pub const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// The same before a daemon has any configuration.
const START_INTERVAL: Duration = Duration::from_secs(1);

/// Actor that applies revisions in order, from the table or from peers.
#[derive(Debug, xtra::Actor)]
pub struct Updater {
    fleet: Arc<Fleet>,
    /// Newest revision that any peer is known to hold.
    told: u64,
}

/// Looks at the head and loads what is missing.
#[derive(Clone, Copy, Debug)]
pub struct Poll {
    /// A revision that peers are known to hold; zero if there is none.
    pub known_revision: u64,
}

/// A committed change, as told by a peer.
#[derive(Clone, Debug)]
pub struct ApplyChange(pub Change);

impl Handler<Poll> for Updater {
    type Return = ();

    async fn handle(&mut self, poll: Poll, _: &mut Context<Self>) {
        let known = self.fleet.view.load().set.clone();
        self.told = self.told.max(poll.known_revision);
        match load(&self.fleet.platform, &known).await {
            Ok(set) => {
                self.fleet.install(set);
                self.fleet.heard_table();
            }
            Err(error) => {
                emit!(Event::ConfigUnreadable, reason = error);
                // A daemon that starts in an outage, or has missed revisions, asks its peers.
                let missing = known.revision() == 0 || known.revision() < self.told;
                if missing && let Some(set) = fetch_newest_set(&self.fleet).await {
                    self.fleet.install(set);
                }
            }
        }
    }
}

impl Handler<ApplyChange> for Updater {
    type Return = ();

    async fn handle(&mut self, offer: ApplyChange, _: &mut Context<Self>) {
        let mut set = self.fleet.view.load().set.clone();
        if set.apply(&offer.0).is_ok() {
            self.fleet.install(set);
        }
    }
}

/// The supervised task around a [`Updater`].
#[derive(Clone, Debug)]
pub struct PollTask(pub Arc<Fleet>);

impl Child for PollTask {
    fn name(&self) -> &'static str {
        "config"
    }

    async fn run(self) {
        let (address, mailbox) = Mailbox::bounded(64);
        self.0.set_keeper(address.clone());
        let fleet = self.0.clone();
        let poll = async {
            while address.send(Poll { known_revision: 0 }).await.is_ok() {
                let started = fleet.view.load().revision() > 0;
                sleep(if started { POLL_INTERVAL } else { START_INTERVAL }).await;
            }
        };
        tokio::select! {
            () = xtra::run(mailbox, Updater { fleet: self.0.clone(), told: 0 }) => {}
            () = poll => {}
        }
    }
}

/// The supervised task that moves waiting calls along as time passes.
#[derive(Clone, Debug)]
pub struct TickTask(pub Arc<Fleet>);

impl Child for TickTask {
    fn name(&self) -> &'static str {
        "ticker"
    }

    async fn run(self) {
        const TICK: Duration = Duration::from_millis(20);
        /// A gap this long means that the process was paused.
        const JUMP: Duration = Duration::from_secs(2);
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last = self.0.now();
        let mut isolated = false;
        loop {
            ticks.tick().await;
            let now = self.0.now();
            if now - last > JUMP {
                emit!(Event::ClockJump, gap_ms = (now - last).as_millis());
                self.0.woke(now);
            }
            last = now;
            self.0.tick();
            let is_isolated = self.0.is_isolated();
            if isolated != is_isolated {
                isolated = is_isolated;
                emit!(if isolated { Event::Isolated } else { Event::Rejoined });
            }
        }
    }
}
