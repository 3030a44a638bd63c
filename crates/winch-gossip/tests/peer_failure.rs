//! Detection of nodes that stop, pause, restart or are partitioned.

mod common;

use common::{network, secs};
use winch_gossip::{member::State, simulation::Network};

/// State of node `of` as node `at` sees it.
fn state(network: &Network, at: usize, of: usize) -> Option<State> {
    let name = network.node(of).local().name.clone();
    network.node(at).members().find(|member| member.name == name).map(|member| member.state)
}

#[test]
fn dead_node_detected() {
    let mut network = network(12, 0.0, 1);
    network.kill(5);
    network.run(secs(20));
    for index in (0..12).filter(|index| *index != 5) {
        assert_eq!(state(&network, index, 5), Some(State::Dead));
        assert_eq!(network.alive(index).len(), 10);
    }
}

#[test]
fn loss_tolerated() {
    // With a loss of 10 % no node is considered dead at the end.
    let mut network = network(50, 0.1, 2);
    network.run(secs(120));
    let missing: usize = (0..50).map(|index| 49 - network.alive(index).len()).sum();
    assert_eq!(missing, 0);
}

#[test]
fn paused_node_returns() {
    let mut network = network(12, 0.0, 3);
    network.pause(2);
    network.run(secs(20));
    assert_eq!(state(&network, 0, 2), Some(State::Dead));
    network.resume(2);
    network.run(secs(40));
    for index in (0..12).filter(|index| *index != 2) {
        assert_eq!(state(&network, index, 2), Some(State::Alive));
    }
    assert!(network.node(2).local().incarnation > 1);
}

#[test]
fn restarted_node_returns() {
    let mut network = network(12, 0.0, 4);
    network.kill(7);
    network.run(secs(20));
    network.restart(7, 2);
    network.run(secs(20));
    assert_eq!(network.alive(7).len(), 11);
    for index in (0..12).filter(|index| *index != 7) {
        assert_eq!(state(&network, index, 7), Some(State::Alive));
    }
}

#[test]
fn partition_heals() {
    let mut network = network(20, 0.0, 5);
    (10..20).for_each(|index| network.set_partition(index, 1));
    network.run(secs(60));
    assert_eq!(network.alive(0).len(), 9);
    (10..20).for_each(|index| network.set_partition(index, 0));
    network.run(secs(90));
    for index in 0..20 {
        assert_eq!(network.alive(index).len(), 19, "node {index}");
    }
}

#[test]
fn large_fleet_tolerates_loss() {
    // With a loss of 5 % no node is ever declared dead in a larger fleet.
    for seed in 0..3 {
        let mut network = network(200, 0.05, seed);
        network.run(secs(60));
        let changes = (0..200).flat_map(|index| network.changes(index));
        let dead = changes.filter(|member| member.state == State::Dead).count();
        assert_eq!(dead, 0, "seed {seed}");
    }
}
