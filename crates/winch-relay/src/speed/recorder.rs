//! Measures the speed of replicas on streams, and applies what is known of it.

use std::net::SocketAddr;

use winch_route::speed::{Level, Meter};

use super::Sample;
use crate::prelude::*;

impl<P: Protocol> Node<P> {
    /// Estimates the speeds of replicas if this daemon reads the store, and applies changed speeds
    /// to the catalog.
    pub fn update_speeds(&self) {
        let mut speeds = self.speeds();
        if self.reads_store() {
            speeds.estimate(&self.catalog(), self.uptime());
        } else {
            speeds.stop_estimating();
        }
        if let Some(slowness) = speeds.take_changes() {
            self.catalog().set_slowness(slowness);
        }
    }
}

/// Takes samples of one stream at one replica.
pub struct Recorder<'a, P: Protocol> {
    node: &'a Node<P>,
    address: SocketAddr,
    meter: Meter,
}

impl<'a, P: Protocol> Recorder<'a, P> {
    /// Begins a stream at `replica`.
    pub fn new(node: &'a Node<P>, replica: &Replica) -> Self {
        Self { node, address: replica.address, meter: Meter::default() }
    }

    /// Records that `count` events were received together.
    pub fn record(&mut self, count: usize) {
        let sample = self.meter.record(count, self.node.uptime());
        self.add(sample);
    }

    fn add(&self, sample: Option<Level>) {
        if let Some(level) = sample {
            self.node.speeds().record(Sample { address: self.address, level });
        }
    }
}
