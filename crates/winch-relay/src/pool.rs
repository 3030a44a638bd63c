//! Pool of idle connections to replicas.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
};

use winch_http::client::Connection;

use crate::prelude::*;

/// Largest number of idle connections kept per replica.
const MAX_IDLE_PER_REPLICA: usize = 6;
/// Timeout for opening a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Idle connections, keyed by the replica's address.
#[derive(Debug, Default)]
pub struct Pool(Mutex<HashMap<SocketAddr, Vec<Connection>>>);

impl Pool {
    fn with_idle<T>(&self, act: impl FnOnce(&mut HashMap<SocketAddr, Vec<Connection>>) -> T) -> T {
        act(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Takes the idle connection to `address` that was returned last and is still usable;
    /// `None` if there is none. Unusable ones that were returned later are closed.
    pub fn take(&self, address: SocketAddr) -> Option<Connection> {
        self.with_idle(|idle| {
            let connections = idle.get_mut(&address)?;
            while let Some(mut connection) = connections.pop() {
                if connection.is_usable() {
                    return Some(connection);
                }
            }
            None
        })
    }

    /// Returns a connection to the pool; closes it if its last exchange does not allow
    /// another one, or if the pool holds enough for this replica. A connection without any exchange
    /// is closed, too: its replica has not named the time for which it stays open.
    pub fn put(&self, address: SocketAddr, mut connection: Connection) {
        if connection.exchanges() == 0 || !connection.is_reusable() {
            return;
        }
        connection.start_idle();
        self.with_idle(|idle| {
            let connections = idle.entry(address).or_default();
            if connections.len() < MAX_IDLE_PER_REPLICA {
                connections.push(connection);
            }
        });
    }

    /// Closes all idle connections to `address`.
    pub fn evict(&self, address: SocketAddr) {
        self.with_idle(|idle| idle.remove(&address));
    }

    /// Closes connections that have expired or were closed by the replica; the daemon calls
    /// this periodically.
    pub fn sweep(&self) {
        self.with_idle(|idle| {
            idle.retain(|_, connections| {
                connections.retain_mut(Connection::is_usable);
                !connections.is_empty()
            });
        });
    }
}
