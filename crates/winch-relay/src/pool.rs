//! Pool of idle connections to replicas.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
};

use winch_http::client::{Connection, Error};

use crate::{counter, prelude::*};

/// Idle connections that are kept per replica.
const MAX_IDLE_CONNECTIONS: usize = 6;
/// Timeout for opening a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Idle connections, keyed by the replica's address.
#[derive(Debug, Default)]
pub struct Pool(Mutex<HashMap<SocketAddr, Vec<Connection>>>);

impl Pool {
    fn with<T>(&self, f: impl FnOnce(&mut HashMap<SocketAddr, Vec<Connection>>) -> T) -> T {
        f(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Takes an idle connection that is still usable.
    pub fn take(&self, address: SocketAddr) -> Option<Connection> {
        self.with(|idle| {
            let connections = idle.get_mut(&address)?;
            while let Some(mut connection) = connections.pop() {
                if connection.is_fresh() {
                    return Some(connection);
                }
            }
            None
        })
    }

    /// Takes an idle connection, or opens a new one.
    ///
    /// # Errors
    /// [`Error::Connect`] if no connection could be opened; nothing was sent.
    pub async fn open(&self, address: SocketAddr) -> Result<Connection, Error> {
        if let Some(connection) = self.take(address) {
            return Ok(connection);
        }
        let opened = Connection::open(address, CONNECT_TIMEOUT).await;
        counter::connected(if opened.is_ok() { "ok" } else { "failed" });
        opened
    }

    /// Returns a connection to the pool; closes it if its last exchange does not allow
    /// another one, or if the pool holds enough for this replica.
    pub fn put(&self, address: SocketAddr, mut connection: Connection) {
        if !connection.is_reusable() {
            return;
        }
        connection.rest();
        self.with(|idle| {
            let connections = idle.entry(address).or_default();
            if connections.len() < MAX_IDLE_CONNECTIONS {
                connections.push(connection);
            }
        });
    }

    /// Closes all idle connections to `address`.
    pub fn evict(&self, address: SocketAddr) {
        self.with(|idle| idle.remove(&address));
    }

    /// Closes connections that have expired or were closed by the replica.
    pub fn sweep(&self) {
        self.with(|idle| {
            idle.retain(|_, connections| {
                connections.retain_mut(Connection::is_fresh);
                !connections.is_empty()
            });
        });
    }
}
