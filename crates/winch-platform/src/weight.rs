//! The weight store: model weights, loaded at a limited rate.

use std::future::Future;

use serde::{Deserialize, Serialize};

use crate::table::Error;

/// The weight store's answer to a request to load a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Permit {
    /// The load may start now.
    Granted,
    /// The rate limit is reached.
    Wait {
        /// Milliseconds until a new attempt is worthwhile.
        retry_ms: u64,
    },
}

/// A rate-limited weight store.
pub trait Weights: Clone + Send + Sync + 'static {
    /// Asks to load `version` onto one replica.
    ///
    /// # Errors
    /// Any [`Error`] when the store gives no answer.
    fn permit(&self, version: &str) -> impl Future<Output = Result<Permit, Error>> + Send;
}
