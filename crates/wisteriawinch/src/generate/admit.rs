//! Admission of calls: start on an upstream now, or wait in the admission queue.

use std::future::Future;

use winch_route::{
    admission::Refusal,
    candidate::Finish,
    choose,
    pool::Key,
    router::{Call, Placement},
};

use crate::prelude::*;

/// Why a call did not start; it was not executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The admission queue refused it.
    Refused(Refusal),
    /// No upstream can run it.
    NoUpstream(choose::Error),
    /// Its deadline passed while it was queued, or no upstream was eligible when its turn came.
    Expired,
    /// The caller disconnected while it was queued.
    Disconnected,
}

impl Error {
    /// Result code for the caller; unused for [`Self::Disconnected`].
    pub fn code(self) -> Code {
        match self {
            Self::Refused(Refusal::Crowded { .. }) => Code::Crowded,
            Self::Refused(Refusal::TeamCrowded { .. }) => Code::TeamCrowded,
            Self::Refused(Refusal::TooLate { .. }) => Code::TooLate,
            Self::NoUpstream(_) => Code::NoUpstream,
            Self::Expired | Self::Disconnected => Code::Expired,
        }
    }

    /// Value of `Retry-After` in seconds; `None` if no response is sent.
    pub fn retry_after(self) -> Option<u64> {
        match self {
            Self::Refused(refusal) => Some(refusal.retry_after().as_secs_f64().ceil() as u64),
            Self::NoUpstream(_) | Self::Expired => Some(1),
            Self::Disconnected => None,
        }
    }
}

/// Places a call on an upstream, waiting in the admission queue if necessary.
///
/// `disconnected` completes when the caller disconnects, which ends the wait.
///
/// # Errors
/// An [`Error`]; the call was not executed and is not counted on any upstream.
pub async fn admit(
    fleet: &Fleet,
    call: Call,
    disconnected: impl Future<Output = ()>,
) -> Result<Key, Error> {
    let runs = call.runs.clone();
    let (waiter, mut receiver) = {
        let mut routing = fleet.routing();
        match routing.router.place(call, fleet.now()) {
            Placement::Start(key) => return Ok(key),
            Placement::NoUpstream(error) => return Err(Error::NoUpstream(error)),
            Placement::Refused(refusal) => return Err(Error::Refused(refusal)),
            Placement::Wait(waiter) => (waiter, routing.register(waiter)),
        }
    };
    tokio::select! {
        start = &mut receiver => start.ok().flatten().ok_or(Error::Expired),
        () = disconnected => {
            fleet.routing().withdraw(&runs, waiter);
            // The router may have started the call just before it was withdrawn.
            if let Ok(Some(key)) = receiver.try_recv() {
                fleet.finish(key, Finish::Cancelled);
            }
            Err(Error::Disconnected)
        }
    }
}
