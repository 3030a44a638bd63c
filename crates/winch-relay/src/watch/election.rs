//! Election of readers through the store, for daemons that can follow no seed.
//!
//! All daemons that have lost their seeds would otherwise read the whole list, each by itself.
//! The elected ones read it for the others until a seed is up to date again. Each holds a lease
//! whose record names its address. A reader that some daemons cannot reach keeps its lease, as
//! it renews it; those daemons go on reading by themselves.

use std::net::SocketAddr;

use tokio::time::sleep;
use winch_platform::{
    lease::{self, Lease},
    table::{Error, Table},
};

use super::jittered;
use crate::{node::Node, prelude::*};

/// Largest number of elected readers.
const MAX_READERS: u64 = 3;
/// Term of a reader's lease.
const TERM: Duration = Duration::from_secs(4);
/// Interval at which a reader renews its lease.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_300);
/// Largest number of rows that are read, those of other writers included.
const MAX_ROWS: usize = 500;
/// Prefix of the keys of the leases.
const PREFIX: &str = "readers/";

/// Key of the lease with this number, which is below [`MAX_READERS`].
fn lease_key(number: u64) -> String {
    format!("{PREFIX}{number}")
}

/// This daemon's view of the election.
#[derive(Debug)]
pub(super) struct Election<T> {
    table: T,
    own: SocketAddr,
    lease: Lease,
}

impl<T: Table> Election<T> {
    /// Prepares to contend for the lease that falls to this daemon by its name.
    pub(super) fn new<P>(node: &Node<P>, table: T) -> Self {
        let number = winch_route::hash::name(&node.settings.name) % MAX_READERS;
        let own = node.settings.peers;
        let lease = Lease::new(lease::Options {
            key: lease_key(number).into(),
            holder: own.to_string().into(),
            term: TERM,
        });
        Self { table, own, lease }
    }

    /// Addresses of the other daemons that hold or held a lease. Whether they still read shows
    /// when they are followed.
    ///
    /// # Errors
    /// The error of the table.
    pub(super) async fn readers(&self) -> Result<Vec<SocketAddr>, Error> {
        let rows = self.table.scan(PREFIX, "", MAX_ROWS).await?;
        let is_lease = |key: &str| (0..MAX_READERS).any(|number| key == lease_key(number));
        let leases = rows.iter().filter(|row| is_lease(&row.key));
        let records = leases.filter_map(|row| {
            // Another release may write other records; they name no reader to use.
            serde_json::from_str::<lease::Record>(&row.value).ok()
        });
        let addresses = records.filter_map(|record| record.holder.parse().ok());
        Ok(addresses.filter(|address| *address != self.own).collect())
    }

    /// Contends for the lease; whether this daemon holds it afterwards.
    ///
    /// # Errors
    /// The error of the table.
    pub(super) async fn contend(&mut self) -> Result<bool, Error> {
        Ok(self.lease.acquire(&self.table).await?.is_some())
    }

    /// Renews the lease until it is lost, or until the table fails for longer than its term, and tells
    /// `node` of the other readers and itself.
    pub(super) async fn hold<P: Protocol>(&mut self, node: &Node<P>) {
        loop {
            if let Ok(mut readers) = self.readers().await {
                readers.push(self.own);
                node.fleet().set_readers(readers);
            }
            sleep(jittered(RENEW_INTERVAL)).await;
            match self.contend().await {
                Ok(true) => {}
                Ok(false) => return,
                // The reads of this daemon log that the store is unreachable.
                Err(_) if self.lease.fencing_token(Instant::now()).is_some() => {}
                Err(_) => return,
            }
        }
    }
}
