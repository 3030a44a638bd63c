//! Whether a request may have run.
//!
//! A reply which says that a request has not run, and never will, is a promise. It is made of
//! statements, not of what nobody has noted: each delivery of a request counts as one that may have
//! run until whoever got it states that it did not run it. [`Delivery::exchange()`] is the only way
//! to send a caller's request, so no path can send one that is not counted, and a path that forgets
//! how a delivery ended promises nothing.

use std::sync::atomic::{AtomicU32, Ordering};

use http::Method;
use winch_http::{
    client::{Connection, Error, Matcher},
    head::Reply,
};

use crate::prelude::*;

/// The deliveries of one request, counted by what is known of them.
#[derive(Clone, Debug, Default)]
pub struct Deliveries(Arc<Counts>);

#[derive(Debug, Default)]
struct Counts {
    /// Those that have not ended.
    open: AtomicU32,
    /// Those that have ended without a statement that the request did not run.
    unresolved: AtomicU32,
}

impl Deliveries {
    /// Begins a delivery: from now on the request may run.
    pub fn begin(&self) -> Delivery {
        self.0.open.fetch_add(1, Ordering::Relaxed);
        Delivery { counts: self.0.clone(), may_have_run: true }
    }

    /// Whether the request may have run, or may run yet.
    pub fn may_have_run(&self) -> bool {
        self.0.open.load(Ordering::Relaxed) > 0 || self.has_lost()
    }

    /// Whether a delivery has ended without a statement that the request did not run.
    pub fn has_lost(&self) -> bool {
        self.0.unresolved.load(Ordering::Relaxed) > 0
    }
}

/// One delivery of a request to a replica or another daemon. Unless it ends with
/// [`Self::not_run()`], the request may have run.
#[derive(Debug)]
#[must_use]
pub struct Delivery {
    counts: Arc<Counts>,
    may_have_run: bool,
}

impl Delivery {
    /// Sends the encoded `request` on `connection`, and reads the head of the reply that `matcher`
    /// finds to answer it. If the request is given up, the connection is reset, so that it does not
    /// run long after its caller was told so.
    ///
    /// # Errors
    /// As [`Connection::exchange()`].
    pub async fn exchange(
        &self,
        connection: &mut Connection,
        method: &Method,
        request: &[u8],
        matcher: &impl Matcher,
    ) -> Result<Reply, Error> {
        connection.reset_pending();
        connection.exchange(method, request, matcher).await
    }

    /// Ends a delivery whose receiver states that it has not run the request, and never will.
    pub fn not_run(mut self) {
        self.may_have_run = false;
    }
}

impl Drop for Delivery {
    fn drop(&mut self) {
        if self.may_have_run {
            self.counts.unresolved.fetch_add(1, Ordering::Relaxed);
        }
        self.counts.open.fetch_sub(1, Ordering::Relaxed);
    }
}
