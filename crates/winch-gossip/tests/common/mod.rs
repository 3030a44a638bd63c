//! Simulated networks of nodes.

use std::time::Duration;

use winch_gossip::{
    node::Options,
    simulation::{Conditions, Network},
};

pub(crate) fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// A network that has run for 3 s.
pub(crate) fn network(size: usize, loss: f64, seed: u64) -> Network {
    let conditions = Conditions { loss, ..Conditions::default() };
    let mut network = Network::new(size, Options::default(), conditions, seed);
    network.run(secs(3));
    network
}
