//! Members of a fleet and the precedence of updates about them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use winch_wire::message::MemberUpdate;

/// State of a member. Within one incarnation a later variant overrides an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// It replies to probes.
    Alive,
    /// It did not reply to a probe and can still refute the suspicion.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It announced that it leaves.
    Left,
}

impl State {
    /// The state's number in a [`MemberUpdate`].
    fn number(self) -> u32 {
        self as u32
    }

    fn from_number(number: u32) -> Option<Self> {
        [Self::Alive, Self::Suspect, Self::Dead, Self::Left].into_iter().nth(number as usize)
    }
}

/// One daemon of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: Arc<str>,
    /// Its peer address.
    pub address: SocketAddr,
    /// Its data centre.
    pub dc: Arc<str>,
    /// Increases with each start of the daemon and with each refutation.
    pub incarnation: u64,
    /// Its state.
    pub state: State,
}

impl Member {
    /// Whether this update takes precedence over `other` about the same member.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }
}

impl From<&Member> for MemberUpdate {
    fn from(member: &Member) -> Self {
        Self {
            name: member.name.to_string(),
            address: member.address.to_string(),
            dc: member.dc.to_string(),
            incarnation: member.incarnation,
            state: member.state.number(),
        }
    }
}

impl TryFrom<&MemberUpdate> for Member {
    type Error = &'static str;

    fn try_from(update: &MemberUpdate) -> Result<Self, Self::Error> {
        if update.name.is_empty() {
            return Err("member update has no name");
        }
        Ok(Self {
            name: update.name.as_str().into(),
            address: update.address.parse().map_err(|_| "member update has no valid address")?,
            dc: update.dc.as_str().into(),
            incarnation: update.incarnation,
            state: State::from_number(update.state).ok_or("member update has an unknown state")?,
        })
    }
}

/// A member with the state that the failure detector keeps about it.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) member: Member,
    /// When this daemon set the member's current state or incarnation.
    pub(crate) since: Duration,
    /// How many more times an update about the member is sent.
    pub(crate) sends_left: u32,
}
