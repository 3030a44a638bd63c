//! The object store, which keeps whole values by name.

use std::future::Future;

use bytes::Bytes;

use crate::table::Error;

/// An object store.
pub trait Objects: Clone + Send + Sync + 'static {
    /// Stores `body` under `name` and replaces an earlier object.
    ///
    /// # Errors
    /// Returns an [`Error`] if the store does not respond.
    fn put(&self, name: &str, body: Bytes) -> impl Future<Output = Result<(), Error>> + Send;

    /// Fetches the object called `name`; `None` if there is none.
    ///
    /// # Errors
    /// Returns an [`Error`] if the store does not respond.
    fn get(&self, name: &str) -> impl Future<Output = Result<Option<Bytes>, Error>> + Send;
}
