//! The object store: whole values by name.

use std::future::Future;

use bytes::Bytes;

use crate::table::Error;

/// An object store.
pub trait Objects: Clone + Send + Sync + 'static {
    /// Stores `body` under `name`, replacing what was there.
    ///
    /// # Errors
    /// Any [`Error`] when the store gives no answer.
    fn put(&self, name: &str, body: Bytes) -> impl Future<Output = Result<(), Error>> + Send;

    /// Fetches the object called `name`.
    ///
    /// # Errors
    /// Any [`Error`] when the store gives no answer.
    fn get(&self, name: &str) -> impl Future<Output = Result<Option<Bytes>, Error>> + Send;
}
