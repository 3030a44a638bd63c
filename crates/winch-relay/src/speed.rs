//! Relative speeds of the replicas of each service.
//!
//! Each daemon takes samples of the gaps between the events of its streams. The daemon that reads
//! the store estimates from the samples of all daemons which replicas differ from a typical one of
//! their service, and tells the others; see `docs/design/speed.md`. An estimate belongs to an
//! address, because a restarted replica has a new id at the same address.

mod recorder;

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
};

use winch_route::speed::{Estimator, Level};

pub use self::recorder::Recorder;
use crate::{catalog::Catalog, counter, prelude::*};

/// Samples a second of all daemons together that are reported; the daemon that reads the store
/// receives them all, at 8 bytes each.
const FLEET_SAMPLES_PER_S: f64 = 256.0;
/// Number of own samples that are kept until they are reported; the oldest ones are dropped first.
const MAX_OWN_SAMPLES: usize = 16;
/// As [`MAX_OWN_SAMPLES`], for samples of followers. All that the fleet may send in half a second
/// fit into it.
const MAX_RECEIVED_SAMPLES: usize = 128;
/// Number of services whose speeds are kept until they are estimated from or passed on.
const MAX_UNKNOWN_SERVICES: usize = 128;
/// Change of a gap from which it is told again, in sixteenths of a doubling. With a smaller one,
/// most samples would change what is told.
const TOLD_CHANGE: u8 = 2;
/// Number of changes that are kept for followers; a follower that lacks earlier ones is told all.
const MAX_CHANGES: usize = 16_384;

/// The gap between the events of one stream at the replica with this address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Address of the replica.
    pub address: SocketAddr,
    /// The sampled gap.
    pub level: Level,
}

/// The replicas of one service that differ from its typical one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSpeeds {
    /// Name of the service.
    pub service: Name,
    /// Typical gap.
    pub typical: Level,
    /// Gaps by address; `None` for a replica that has become typical.
    pub gaps: Vec<(SocketAddr, Option<Level>)>,
}

/// What one daemon tells another of the speeds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Told {
    /// Whether replicas that were told earlier and are not named are typical.
    pub is_complete: bool,
    /// All services whose replicas differ, with the gaps that are new or have changed.
    pub services: Vec<ServiceSpeeds>,
}

impl Told {
    /// What a daemon tells that knows no speeds.
    pub fn nothing_known() -> Self {
        Self { is_complete: true, services: Vec::new() }
    }
}

/// The gap of one replica in a [`Table`].
#[derive(Clone, Debug)]
struct Gap {
    service: Name,
    /// `None` since the replica has become typical.
    level: Option<Level>,
    /// Revision of the table with the last change.
    revision: u64,
}

/// The replicas that differ from the typical ones, with the changes for followers.
#[derive(Debug, Default)]
struct Table {
    /// Typical gaps of the services whose replicas differ.
    typical: BTreeMap<Name, Level>,
    gaps: HashMap<SocketAddr, Gap>,
    /// Addresses of `gaps` by their revision.
    changes: BTreeMap<u64, SocketAddr>,
    revision: u64,
    /// Revision with the last change of `typical`.
    typical_revision: u64,
    /// Revision before the oldest of the changes that are kept.
    forgotten: u64,
}

impl Table {
    /// Sets the typical gap of a service; `None` if its replicas do not differ.
    fn set_typical(&mut self, service: &Name, typical: Option<Level>) {
        let known = self.typical.get(service).copied();
        match (known, typical) {
            (None, None) => return,
            (Some(known), Some(typical)) if known.0.abs_diff(typical.0) < TOLD_CHANGE => return,
            (_, Some(typical)) => {
                self.typical.insert(service.clone(), typical);
            }
            (Some(_), None) => {
                self.typical.remove(service);
                let gaps = self.gaps.iter().filter(|(_, gap)| gap.service == *service);
                let addresses: Vec<SocketAddr> = gaps.map(|(address, _)| *address).collect();
                for address in addresses {
                    self.set_gap(service, address, None);
                }
            }
        }
        self.revision += 1;
        self.typical_revision = self.revision;
        match (known, typical) {
            (None, Some(_)) => emit!(Event::SpeedsDiffer, service = service),
            (Some(_), None) => emit!(Event::SpeedsAlike, service = service),
            _ => {}
        }
    }

    fn set_gap(&mut self, service: &Name, address: SocketAddr, level: Option<Level>) {
        let known = self.gaps.get(&address).filter(|gap| gap.service == *service);
        let known_level = known.and_then(|gap| gap.level);
        let is_same = match (known_level, level) {
            (None, None) => true,
            (Some(known), Some(level)) => known.0.abs_diff(level.0) < TOLD_CHANGE,
            _ => false,
        };
        if is_same {
            return;
        }
        self.revision += 1;
        let gap = Gap { service: service.clone(), level, revision: self.revision };
        if let Some(replaced) = self.gaps.insert(address, gap) {
            self.changes.remove(&replaced.revision);
        }
        self.changes.insert(self.revision, address);
        while self.changes.len() > MAX_CHANGES {
            let Some((revision, address)) = self.changes.pop_first() else { break };
            self.forgotten = revision;
            if self.gaps.get(&address).is_some_and(|gap| gap.level.is_none()) {
                self.gaps.remove(&address);
            }
        }
    }

    /// Replaces the gaps of a service.
    fn replace(&mut self, service: &Name, gaps: &HashMap<SocketAddr, Level>) {
        let known = self.gaps.iter().filter(|(_, gap)| gap.service == *service);
        let known: Vec<SocketAddr> = known.map(|(address, _)| *address).collect();
        for address in known.into_iter().filter(|address| !gaps.contains_key(address)) {
            self.set_gap(service, address, None);
        }
        for (address, level) in gaps {
            self.set_gap(service, *address, Some(*level));
        }
    }

    /// The replicas that differ, of one service.
    fn differing(&self, service: &Name) -> Vec<(SocketAddr, Option<Level>)> {
        let gaps = self.gaps.iter().filter(|(_, gap)| gap.service == *service);
        let differing = gaps.filter(|(_, gap)| gap.level.is_some());
        differing.map(|(address, gap)| (*address, gap.level)).collect()
    }

    /// Relative slowness of all replicas that differ, with their service.
    fn slowness(&self) -> HashMap<SocketAddr, (Name, f64)> {
        let differing = self.gaps.iter().filter_map(|(address, gap)| {
            let typical = *self.typical.get(&gap.service)?;
            Some((*address, (gap.service.clone(), gap.level?.ratio(typical))))
        });
        differing.collect()
    }
}

/// What a follower was told already.
#[derive(Debug, Default)]
pub struct Cursor {
    /// Revision of the table; `None` before the first update.
    revision: Option<u64>,
}

/// Samples of streams, and the speeds that follow from them.
#[derive(Debug, Default)]
pub struct Speeds {
    /// Samples of this daemon's streams that were not reported yet.
    own: VecDeque<Sample>,
    /// Samples of followers that were not passed on yet.
    received: VecDeque<Sample>,
    /// Number of own samples that may be reported, and since when.
    quota: (f64, Duration),
    /// Estimates of each service; `None` while this daemon follows another one.
    estimators: Option<HashMap<Name, Estimator<SocketAddr>>>,
    table: Table,
    /// Revision of the table that the catalog has.
    applied: u64,
    /// Speeds that the daemon that estimates is not known to have.
    unknown_to_source: Vec<ServiceSpeeds>,
}

fn push_bounded(samples: &mut VecDeque<Sample>, sample: Sample, size: usize) {
    if samples.len() >= size {
        samples.pop_front();
    }
    samples.push_back(sample);
}

impl Speeds {
    /// Adds a sample of a stream of this daemon.
    pub fn record(&mut self, sample: Sample) {
        counter::speed_samples("taken", 1);
        push_bounded(&mut self.own, sample, MAX_OWN_SAMPLES);
    }

    /// Adds samples that a follower has reported.
    pub fn receive(&mut self, samples: impl IntoIterator<Item = Sample>) {
        for sample in samples {
            counter::speed_samples("received", 1);
            push_bounded(&mut self.received, sample, MAX_RECEIVED_SAMPLES);
        }
    }

    /// Takes the samples for the next report of one of `daemons` daemons.
    pub fn take_samples(&mut self, daemons: u32, now: Duration) -> Vec<Sample> {
        let (quota, since) = self.quota;
        let rate = FLEET_SAMPLES_PER_S / f64::from(daemons.max(1));
        let earned = now.saturating_sub(since).as_secs_f64() * rate;
        let quota = (quota + earned).min(MAX_OWN_SAMPLES as f64);
        let count = self.own.len().min(quota as usize);
        self.quota = (quota - count as f64, now);
        let newest = self.own.split_off(self.own.len() - count);
        let samples: Vec<Sample> = self.received.drain(..).chain(newest).collect();
        counter::speed_samples("sent", samples.len());
        samples
    }

    /// Takes the speeds for the next report that the followed daemon does not have.
    pub fn take_unknown_to_source(&mut self) -> Option<Told> {
        let services = std::mem::take(&mut self.unknown_to_source);
        (!services.is_empty()).then_some(Told { is_complete: false, services })
    }

    /// Takes over the speeds that a follower knew and this daemon did not tell: it estimates from
    /// them, or passes them on to the daemon that it follows.
    pub fn restore(&mut self, told: Told) {
        self.unknown_to_source.extend(told.services);
        // Followers mostly report the same.
        let excess = self.unknown_to_source.len().saturating_sub(MAX_UNKNOWN_SERVICES);
        self.unknown_to_source.drain(..excess);
    }

    /// Applies what the followed daemon tells.
    pub fn apply(&mut self, told: &Told) {
        self.estimators = None;
        let is_told = |service: &Name| told.services.iter().any(|told| told.service == *service);
        let untold = self.table.typical.iter().filter(|(service, _)| !is_told(service));
        let untold: Vec<(Name, Level)> =
            untold.map(|(name, level)| (name.clone(), *level)).collect();
        for (service, typical) in untold {
            if told.is_complete {
                // The daemon may have been restarted and know nothing.
                let gaps = self.table.differing(&service);
                self.unknown_to_source.push(ServiceSpeeds {
                    service: service.clone(),
                    typical,
                    gaps,
                });
            }
            self.table.set_typical(&service, None);
        }
        for ServiceSpeeds { service, typical, gaps } in &told.services {
            self.table.set_typical(service, Some(*typical));
            if told.is_complete {
                let gaps = gaps.iter().filter_map(|(address, level)| Some((*address, (*level)?)));
                self.table.replace(service, &gaps.collect());
            } else {
                for (address, level) in gaps {
                    self.table.set_gap(service, *address, *level);
                }
            }
        }
    }

    /// What to tell a follower next; `None` if nothing has changed.
    ///
    /// `added` are the replicas that the follower is told of with the same update, and `is_known`
    /// tells whether it knows the one at an address.
    pub fn next_told(
        &self,
        cursor: &mut Cursor,
        added: &[SocketAddr],
        is_known: impl Fn(SocketAddr) -> bool,
    ) -> Option<Told> {
        let table = &self.table;
        let last = cursor.revision.filter(|last| *last >= table.forgotten);
        if last == Some(table.revision) && added.is_empty() {
            return None;
        }
        cursor.revision = Some(table.revision);
        let typical = table.typical.iter();
        let services = typical.map(|(service, typical)| ServiceSpeeds {
            service: service.clone(),
            typical: *typical,
            gaps: Vec::new(),
        });
        let mut services: Vec<ServiceSpeeds> = services.collect();
        let mut is_needed = last.is_none_or(|last| last < table.typical_revision);
        let mut add = |address: &SocketAddr| {
            let Some(gap) = table.gaps.get(address) else { return };
            if let Some(told) = services.iter_mut().find(|told| told.service == gap.service) {
                told.gaps.push((*address, gap.level));
                is_needed = true;
            }
        };
        match last {
            None => {
                let known = table.gaps.keys().filter(|address| is_known(**address));
                known.for_each(&mut add);
            }
            Some(last) => {
                let changed = table.changes.range(last + 1..).map(|(_, address)| address);
                let known = changed.filter(|address| is_known(**address));
                known.filter(|address| !added.contains(address)).for_each(&mut add);
                added.iter().for_each(&mut add);
            }
        }
        is_needed.then_some(Told { is_complete: last.is_none(), services })
    }

    /// Estimates from the samples so far; called at intervals while this daemon reads the store.
    pub fn estimate(&mut self, catalog: &Catalog, now: Duration) {
        let table = &self.table;
        let estimators = self.estimators.get_or_insert_with(|| {
            let mut estimators: HashMap<Name, Estimator<SocketAddr>> = HashMap::new();
            for (service, typical) in &table.typical {
                let gaps = table.differing(service);
                let speeds = ServiceSpeeds { service: service.clone(), typical: *typical, gaps };
                restore(estimators.entry(service.clone()).or_default(), &speeds, catalog, now);
            }
            estimators
        });
        for speeds in self.unknown_to_source.drain(..) {
            let estimator = estimators.entry(speeds.service.clone()).or_default();
            restore(estimator, &speeds, catalog, now);
        }
        for sample in self.received.drain(..).chain(self.own.drain(..)) {
            let Some(service) = catalog.service_at(sample.address) else { continue };
            let estimator = estimators.entry(service.clone()).or_default();
            estimator.record(sample.address, sample.level, now);
        }
        for (service, estimator) in estimators {
            estimator.evaluate(now);
            counter::speed_estimates(service, estimator.known(), estimator.quartile_ratio());
            let typical = estimator.typical();
            self.table.set_typical(service, typical);
            if typical.is_some() {
                self.table.replace(service, &estimator.differing().collect());
            }
        }
    }

    /// Stops to estimate, because this daemon follows another one.
    pub fn stop_estimating(&mut self) {
        self.estimators = None;
    }

    /// Relative slowness of the replicas that differ, if it has changed since the last call.
    pub fn take_changes(&mut self) -> Option<HashMap<SocketAddr, (Name, f64)>> {
        let applied = std::mem::replace(&mut self.applied, self.table.revision);
        (applied != self.table.revision).then(|| self.table.slowness())
    }
}

/// Restores the estimates of a service that another daemon made. Replicas that it does not name
/// were typical.
fn restore(
    estimator: &mut Estimator<SocketAddr>,
    speeds: &ServiceSpeeds,
    catalog: &Catalog,
    now: Duration,
) {
    for (address, level) in &speeds.gaps {
        if let Some(level) = level {
            estimator.restore(*address, *level, true, now);
        }
    }
    for (_, entry) in catalog.serving(&speeds.service) {
        estimator.restore(entry.replica.address, speeds.typical, false, now);
    }
}
