//! The platform's list of VMs, which is eventually consistent.

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
    /// The data centre that the VM is in.
    pub dc: Arc<str>,
    /// What runs on the VM.
    pub kind: Kind,
    /// Whether the platform is about to remove the VM.
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
    /// Fetches the list. It may lag behind the actual state of the VMs.
    ///
    /// # Errors
    /// Returns an [`Error`] if the service does not respond.
    fn list(&self) -> impl Future<Output = Result<Vec<Vm>, Error>> + Send;

    /// Adds `vm` to the list, as the platform does when it starts a VM.
    ///
    /// # Errors
    /// Returns an [`Error`] if the service does not respond.
    fn register(&self, vm: Vm) -> impl Future<Output = Result<(), Error>> + Send;
}
