//! Registers this daemon in the platform's list of VMs and passes the list on to the gossip node.

use tokio::time::{MissedTickBehavior, interval};
use winch_gossip::member::{Member, State};
use winch_platform::membership::{Kind, Membership, Vm};
use winch_route::hash;

use super::{
    facts,
    peers::{AddMembers, Members},
    supervisor::Child,
};
use crate::prelude::*;

/// Time between two reads of the platform's list.
const READ_INTERVAL: Duration = Duration::from_secs(2);
/// Number of daemons that read the list in each interval, on behalf of all.
const READERS: usize = 2;

/// Supervised task that registers this daemon and reads the list.
#[derive(Clone, Debug)]
pub struct MembersTask(pub Arc<Fleet>);

impl Child for MembersTask {
    fn name(&self) -> &'static str {
        "members"
    }

    async fn run(self) {
        let mut ticks = interval(READ_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut registered = false;
        loop {
            ticks.tick().await;
            registered = registered || self.register().await;
            let alive = self.alive_names().await;
            if is_reader(&self.0.settings.name, &alive) {
                self.read_list().await;
            }
        }
    }
}

/// Whether this daemon is one of the [`READERS`] in the current interval.
///
/// The selection changes each interval, so that the traffic of reading the list is spread evenly
/// over all daemons.
fn is_reader(me: &Name, alive: &[Name]) -> bool {
    let turn = unix_now() / READ_INTERVAL.as_secs();
    is_selected(me, alive, &format!("members/{turn}"), READERS)
}

/// Whether `me` is one of the `count` daemons selected for `task` by rendezvous hashing.
///
/// `alive` has the names of the other daemons that are alive or suspected.
pub fn is_selected(me: &Name, alive: &[Name], task: &str, count: usize) -> bool {
    let key = hash::name(task);
    let own_score = hash::score(key, hash::name(me));
    let ahead = alive.iter().filter(|name| hash::score(key, hash::name(name)) > own_score);
    ahead.count() < count
}

impl MembersTask {
    /// Adds this daemon to the platform's list; false if that failed.
    async fn register(&self) -> bool {
        let settings = &self.0.settings;
        let vm = Vm {
            name: settings.name.clone(),
            address: settings.peer,
            dc: settings.dc.clone(),
            kind: Kind::Daemon,
            leaving: false,
        };
        self.0.platform.register(vm).await.is_ok()
    }

    /// Names of the other daemons that are alive or suspected; empty before the link has started.
    async fn alive_names(&self) -> Vec<Name> {
        let Some(link) = self.0.link() else {
            return Vec::new();
        };
        let members = link.send(Members).await.unwrap_or_default();
        members.into_iter().filter(|m| m.state <= State::Suspect).map(|m| m.name).collect()
    }

    /// Adds the listed daemons to the gossip node and publishes which upstreams are leaving.
    async fn read_list(&self) {
        let Ok(vms) = self.0.platform.list().await else {
            return;
        };
        self.0.record_table_contact();
        let daemons = vms.iter().filter(|vm| vm.kind == Kind::Daemon && !vm.leaving);
        let members = daemons.map(|vm| Member {
            name: vm.name.clone(),
            address: vm.address,
            dc: vm.dc.clone(),
            incarnation: 0,
            state: State::Alive,
        });
        if let Some(link) = self.0.link() {
            let _ = link.send(AddMembers(members.collect())).await;
        }
        for vm in vms.iter().filter(|vm| vm.kind == Kind::Upstream && vm.leaving) {
            if !self.0.is_leaving(&vm.name) {
                self.0.publish(facts::leave(&vm.name, true));
            }
        }
    }
}
