//! What spreads the list of replicas costs a daemon no more when the fleet and the list grow.

use winch_bench::spread::{Config, run};

/// A column of the rows of one way, by size.
fn column(rows: &[Vec<String>], way: &str, index: usize) -> Vec<f64> {
    let rows = rows.iter().filter(|row| row[2] == way);
    rows.map(|row| row[index].parse().expect("a number")).collect()
}

#[test]
fn daemon_cost_flat() {
    let table = run(&Config { daemons: vec![60, 120, 360], replicas_per_daemon: 14, dcs: 6 });
    let rows = table.rows();
    let (subset, whole) = (column(rows, "subset", 5), column(rows, "whole", 5));
    assert!(subset[2] < 1.1 * subset[0], "kB at the start of a daemon: {subset:?}");
    assert!(whole[2] > 5.0 * whole[0], "the whole list grows: {whole:?}");
    // One start of the fleet: the store serves the servers only.
    let (subset, store) = (column(rows, "subset", 3), column(rows, "store", 3));
    assert!(store[2] > 100.0 * subset[2], "{store:?} and {subset:?} kB");
}
