//! Measures the memory that a daemon's configuration takes, and the time to apply, index
//! and check a change, by the number of objects.

use std::{sync::Arc, time::Instant};

use winch_config::{
    change::Change,
    check::check,
    object::{Fencing, Object, Route, Target, Team, Upstream, Version, Workload},
    set::Set,
};
use wisteriawinch::snapshot::Snapshot;

use crate::{fleet::resident_kib, table::Table};

/// Numbers of upstreams and teams of the configurations in the table.
pub const SIZES: [(usize, usize); 4] = [(39, 10), (500, 250), (2_000, 1_000), (6_800, 3_200)];

/// Measures all sizes and returns one row for each.
///
/// The columns `view` stand for the [`Snapshot`]; `json_kib` is the length of the objects'
/// Debug text.
pub fn run() -> Table {
    let columns = [
        "upstreams",
        "teams",
        "set_kib",
        "view_kib",
        "apply_us",
        "view_us",
        "check_us",
        "json_kib",
    ];
    let mut table = Table::new("config", &columns);
    for (upstreams, teams) in SIZES {
        table.row(&measure(upstreams, teams));
    }
    table
}

/// Measures one size and returns its row.
fn measure(upstreams: usize, teams: usize) -> Vec<String> {
    let before_kib = resident_kib();
    let puts = objects(upstreams, teams);
    let mut set = Set::default();
    set.apply(&Change { revision: 1, puts, ..Change::default() })
        .expect("an empty set accepts revision 1");
    let set_kib = resident_kib().saturating_sub(before_kib);
    let started = Instant::now();
    let snapshot = Snapshot::new(set.clone());
    let snapshot_us = started.elapsed().as_micros();
    let snapshot_kib = resident_kib().saturating_sub(before_kib).saturating_sub(set_kib);
    let next = Change { revision: 2, puts: vec![team(0)], ..Change::default() };
    let started = Instant::now();
    let mut changed = set.clone();
    changed.apply(&next).expect("revision 2 follows revision 1");
    let apply_us = started.elapsed().as_micros();
    let started = Instant::now();
    let faults = check(&changed);
    let check_us = started.elapsed().as_micros();
    assert!(faults.is_empty(), "{:?}", &faults[..1]);
    let stored = winch_config::set::Stored::from(&set);
    let debug_text_bytes =
        stored.objects.iter().map(|object| format!("{object:?}").len()).sum::<usize>();
    drop(snapshot);
    vec![
        upstreams.to_string(),
        teams.to_string(),
        set_kib.to_string(),
        snapshot_kib.to_string(),
        apply_us.to_string(),
        snapshot_us.to_string(),
        check_us.to_string(),
        (debug_text_bytes / 1_024).to_string(),
    ]
}

/// Returns a configuration of four models with a version and a route each, and of upstreams
/// and teams.
fn objects(upstreams: usize, teams: usize) -> Vec<Arc<Object>> {
    const MODELS: usize = 4;
    let mut objects: Vec<Arc<Object>> = Vec::with_capacity(upstreams + teams + 2 * MODELS);
    for number in 0..MODELS {
        let (model, version) = (format!("model-{number}"), format!("model-{number}-1"));
        let target =
            Target::Model { model: model.as_str().into(), version: version.as_str().into() };
        objects.push(
            Object::Version(Version { name: version.into(), model: model.as_str().into() }).into(),
        );
        objects.push(Object::Route(Route { name: model.into(), target }).into());
    }
    for number in 0..upstreams {
        let upstream = Upstream {
            name: format!("engine-{number:05}").into(),
            address: ([127, 0, (number >> 8) as u8, number as u8], 8_000).into(),
            dc: format!("dc-{:02}", number % 18).into(),
            runs: Workload::Version(format!("model-{}-1", number % MODELS).into()),
            leaving: false,
            slots: 16,
            fencing: Fencing::Honoured,
        };
        objects.push(Object::Upstream(upstream).into());
    }
    objects.extend((0..teams).map(team));
    objects
}

fn team(number: usize) -> Arc<Object> {
    let name = format!("team-{number:05}").into();
    let key_digest = format!("{number:064x}").into();
    Object::Team(Team { name, key_digest, weight: 1 }).into()
}
