//! Members and the order of news about them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use winch_wire::message::MemberUpdate;

/// State of a member, within one incarnation in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// It answers.
    Alive,
    /// It did not answer; it may still refute.
    Suspect,
    /// It is taken as dead.
    Dead,
    /// It said that it leaves.
    Left,
}

impl State {
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
    /// Rises with each start of the daemon and with each refutation.
    pub incarnation: u64,
    /// Its state.
    pub state: State,
}

impl Member {
    /// Whether this is newer than `other` news about the same member.
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
            return Err("a member without a name");
        }
        Ok(Self {
            name: update.name.as_str().into(),
            address: update.address.parse().map_err(|_| "a member without an address")?,
            dc: update.dc.as_str().into(),
            incarnation: update.incarnation,
            state: State::from_number(update.state).ok_or("a member in an unknown state")?,
        })
    }
}

/// A member with what the detector notes about it.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) member: Member,
    /// When its present state began.
    pub(crate) since: Duration,
    /// How often news about it may still be sent.
    pub(crate) sends: u32,
}
