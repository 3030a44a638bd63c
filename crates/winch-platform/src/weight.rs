//! The weight store, which limits the rate at which model weights are loaded.

use std::future::Future;

use serde::{Deserialize, Serialize};

use crate::table::Error;

/// The weight store's response to a request to load a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Permit {
    /// The load may start now.
    Granted,
    /// The rate limit is reached.
    Wait {
        /// Milliseconds after which the request may be repeated.
        retry_ms: u64,
    },
}

/// A rate-limited weight store.
pub trait Weights: Clone + Send + Sync + 'static {
    /// Requests permission to load the weights of `version` onto one replica.
    ///
    /// # Errors
    /// Returns an [`Error`] if the store does not respond.
    fn permit(&self, version: &str) -> impl Future<Output = Result<Permit, Error>> + Send;
}
