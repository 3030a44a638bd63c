//! Waits for an upstream's room, fairly and within bounds.

use std::future::Future;

use winch_route::{
    admission::Refusal,
    candidate::Finish,
    choose,
    pool::Key,
    router::{Call, Placement},
};

use crate::prelude::*;

/// Why a call did not start. It did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// Refused on arrival.
    Refused(Refusal),
    /// Nothing runs it.
    Nowhere(choose::Error),
    /// Waited as long as its caller does.
    Expired,
    /// The caller left.
    Left,
}

impl Error {
    /// The code for the caller.
    pub fn code(self) -> Code {
        match self {
            Self::Refused(Refusal::Crowded { .. }) => Code::Crowded,
            Self::Refused(Refusal::TeamCrowded { .. }) => Code::TeamCrowded,
            Self::Refused(Refusal::TooLate { .. }) => Code::TooLate,
            Self::Nowhere(_) => Code::NoUpstream,
            Self::Expired | Self::Left => Code::Expired,
        }
    }

    /// Seconds for `Retry-After`.
    pub fn retry_after(self) -> Option<u64> {
        match self {
            Self::Refused(refusal) => Some(refusal.retry_after().as_secs_f64().ceil() as u64),
            Self::Nowhere(_) | Self::Expired => Some(1),
            Self::Left => None,
        }
    }
}

/// Starts a call or waits until it may start; `left` ends the wait early.
///
/// # Errors
/// An [`Error`]; the call did not run and holds no room.
pub async fn admit(
    fleet: &Fleet,
    call: Call,
    left: impl Future<Output = ()>,
) -> Result<Key, Error> {
    let runs = call.runs.clone();
    let (waiting, mut receiver) = {
        let mut routing = fleet.routing();
        match routing.router.place(call, fleet.now()) {
            Placement::Start(key) => return Ok(key),
            Placement::NoUpstream(error) => return Err(Error::Nowhere(error)),
            Placement::Refused(refusal) => return Err(Error::Refused(refusal)),
            Placement::Wait(waiting) => (waiting, routing.wait(waiting)),
        }
    };
    tokio::select! {
        start = &mut receiver => start.ok().flatten().ok_or(Error::Expired),
        () = left => {
            fleet.routing().forget(&runs, waiting);
            // The start may have been sent just before the call was taken out.
            if let Ok(Some(key)) = receiver.try_recv() {
                fleet.finish(key, Finish::Cancelled);
            }
            Err(Error::Left)
        }
    }
}
