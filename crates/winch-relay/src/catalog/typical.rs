//! Averages over this daemon's streams to each service of engines.

use winch_route::engine::Typical;

use super::Catalog;
use crate::prelude::*;

impl Catalog {
    /// The averages of a service.
    pub fn typical(&self, service: &str) -> Typical {
        self.typicals.get(service).copied().unwrap_or_default()
    }

    /// Adds a sample to the averages of a service.
    pub fn record_typical(&mut self, service: &Name, record: impl FnOnce(&mut Typical)) {
        record(self.typicals.entry(service.clone()).or_default());
    }
}
