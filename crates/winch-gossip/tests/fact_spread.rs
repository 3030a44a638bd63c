//! Facts reach all nodes despite loss and partitions, and versions never decrease.

mod common;

use std::time::Duration;

use common::{network, secs};
use proptest::prelude::*;
use winch_gossip::facts::{Fact, Facts};

/// Time within which a configuration change must be in force at all nodes.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(7);

#[test]
fn change_reaches_all() {
    for (size, loss) in [(12, 0.0), (12, 0.3), (200, 0.05), (200, 0.3)] {
        for seed in 0..3 {
            let mut network = network(size, loss, seed);
            network.publish(0, Fact::new("config", 2, "change"));
            network.run(PROPAGATION_LIMIT);
            assert_eq!(
                network.holders("config", 2),
                size,
                "{size} nodes, loss {loss}, seed {seed}"
            );
        }
    }
}

#[test]
fn fault_propagates_quickly() {
    // A fault of a version has to reach at least 95 % of the nodes within a second.
    let mut network = network(200, 0.0, 1);
    network.publish(7, Fact::new("fault/m", 1, ""));
    network.run(secs(1));
    assert!(network.holders("fault/m", 1) * 100 >= network.len() * 95);
}

#[test]
fn partition_repaired() {
    let mut network = network(20, 0.0, 2);
    (10..20).for_each(|index| network.set_partition(index, 1));
    network.publish(0, Fact::new("config", 5, "left"));
    network.publish(15, Fact::new("leave/e", 1, "right"));
    network.run(secs(120));
    assert_eq!((network.holders("config", 5), network.holders("leave/e", 1)), (10, 10));
    (10..20).for_each(|index| network.set_partition(index, 0));
    network.run(secs(60));
    assert_eq!((network.holders("config", 5), network.holders("leave/e", 1)), (20, 20));
}

#[test]
fn restarted_node_catches_up() {
    let mut network = network(12, 0.0, 3);
    network.publish(0, Fact::new("config", 9, "x"));
    network.run(secs(5));
    network.kill(4);
    network.run(secs(5));
    network.restart(4, 2);
    network.run(secs(10));
    assert_eq!(network.holders("config", 9), 12);
}

#[test]
fn ephemeral_not_repaired() {
    let mut network = network(12, 0.0, 4);
    network.set_partition(3, 1);
    let ttl = secs(20);
    network.publish(0, Fact::new("grant/m", 1, "").with_ttl(ttl).ephemeral());
    network.publish(0, Fact::new("fault/m", 1, "").with_ttl(ttl));
    network.run(secs(2));
    assert_eq!(network.holders("grant/m", 1), 11);
    network.set_partition(3, 0);
    network.run(secs(10));
    // The partitioned node receives the lasting fact by repair, but not the ephemeral one.
    assert_eq!((network.version(3, "fault/m"), network.version(3, "grant/m")), (Some(1), None));
    network.run(ttl);
    assert_eq!((network.holders("fault/m", 1), network.holders("grant/m", 1)), (0, 0));
}

fn config() -> ProptestConfig {
    ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(9), ..Default::default() }
}

proptest! {
    #![proptest_config(config())]

    /// Compares with a map that keeps the highest version of each key.
    #[test]
    fn highest_version_wins(updates in prop::collection::vec((0..4_u8, 0..20_u64), 1..60)) {
        let mut facts = Facts::default();
        let mut model = std::collections::BTreeMap::new();
        for (key, version) in updates {
            let applied = facts.apply(Fact::new(key.to_string(), version, ""), Duration::ZERO);
            let known = model.get(&key).copied();
            prop_assert_eq!(applied, known.is_none_or(|known| version > known));
            model.insert(key, known.map_or(version, |known: u64| known.max(version)));
        }
        for (key, version) in &model {
            prop_assert_eq!(facts.get(&key.to_string()).map(|fact| fact.version), Some(*version));
        }
    }

    /// Two sets of facts are equal after each has received what it lacks.
    #[test]
    fn repair_converges(a in prop::collection::vec((0..9_u8, 0..9_u64), 0..20),
                        b in prop::collection::vec((0..9_u8, 0..9_u64), 0..20)) {
        let facts_of = |updates: &[(u8, u64)]| {
            let mut facts = Facts::default();
            for (key, version) in updates {
                facts.apply(Fact::new(key.to_string(), *version, ""), Duration::ZERO);
            }
            facts
        };
        let (mut a, mut b) = (facts_of(&a), facts_of(&b));
        let (missing, wanted) = a.compare(&b.key_versions(), Duration::ZERO);
        for fact in b.export_wanted(&wanted, Duration::ZERO) {
            a.apply(fact.into(), Duration::ZERO);
        }
        for fact in missing {
            b.apply(fact.into(), Duration::ZERO);
        }
        prop_assert_eq!(a.digest(), b.digest());
    }
}
