//! The platform's lagging list of VMs.

use std::{future::Future, net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::table::Error;

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM's name.
    pub name: Arc<str>,
    /// Where its daemon or upstream listens.
    pub address: SocketAddr,
    /// The data centre it stands in.
    pub dc: Arc<str>,
    /// Whether it is `daemon` or `upstream`.
    pub kind: Kind,
    /// True once the platform plans to take it away.
    pub leaving: bool,
}

/// What runs on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// An entry daemon; the address is its peer address.
    Daemon,
    /// A model engine or a plain service.
    Upstream,
}

/// The membership list.
pub trait Membership: Clone + Send + Sync + 'static {
    /// Fetches the list, which may lag behind the truth.
    ///
    /// # Errors
    /// Any [`Error`] when the service gives no answer.
    fn list(&self) -> impl Future<Output = Result<Vec<Vm>, Error>> + Send;

    /// Adds the caller's own VM to the list, as the platform does when it starts one.
    ///
    /// # Errors
    /// Any [`Error`] when the service gives no answer.
    fn register(&self, vm: Vm) -> impl Future<Output = Result<(), Error>> + Send;
}
