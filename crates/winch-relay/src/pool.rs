//! Idle connections to replicas.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
};

use winch_http::client::{Connection, Error};

use crate::{counter, prelude::*};

/// Most idle connections to one replica.
const MAX_IDLE: usize = 6;
/// Longest time to make a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Idle connections by the address of their replica.
#[derive(Debug, Default)]
pub struct Pool(Mutex<HashMap<SocketAddr, Vec<Connection>>>);

impl Pool {
    fn with<T>(&self, act: impl FnOnce(&mut HashMap<SocketAddr, Vec<Connection>>) -> T) -> T {
        act(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// An idle connection that is still fresh.
    pub fn take(&self, address: SocketAddr) -> Option<Connection> {
        self.with(|idle| {
            let connections = idle.get_mut(&address)?;
            while let Some(mut connection) = connections.pop() {
                if connection.is_usable() {
                    return Some(connection);
                }
            }
            None
        })
    }

    /// An idle connection, or a new one.
    ///
    /// # Errors
    /// [`Error::Connect`]; nothing was sent.
    pub async fn open(&self, address: SocketAddr) -> Result<Connection, Error> {
        if let Some(connection) = self.take(address) {
            return Ok(connection);
        }
        let opened = Connection::open(address, CONNECT_TIMEOUT).await;
        counter::connected(if opened.is_ok() { "ok" } else { "failed" });
        opened
    }

    /// Keeps a connection for later, if its last exchange allows that.
    pub fn put(&self, address: SocketAddr, mut connection: Connection) {
        if !connection.is_reusable() {
            return;
        }
        connection.start_idle();
        self.with(|idle| {
            let connections = idle.entry(address).or_default();
            if connections.len() < MAX_IDLE {
                connections.push(connection);
            }
        });
    }

    /// Closes the idle connections to an address.
    pub fn forget(&self, address: SocketAddr) {
        self.with(|idle| idle.remove(&address));
    }

    /// Closes connections that are no longer fresh.
    pub fn sweep(&self) {
        self.with(|idle| {
            idle.retain(|_, connections| {
                connections.retain_mut(Connection::is_usable);
                !connections.is_empty()
            });
        });
    }
}
