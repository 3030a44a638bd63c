//! One revision of the configuration, indexed for the request path.

use std::collections::HashMap;

use winch_config::{
    object::{Name, Service, Target, Team, Workload},
    set::Set,
};
use winch_route::candidate::Spec;

use crate::prelude::Arc;

/// The route that serves a model, and its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    /// The route's name.
    pub route: Name,
    /// The route's version in the configuration; a version move may assign requests to its new
    /// version instead.
    pub version: Name,
}

/// One revision of the configuration, with indexes for lookups by request. It never changes; all
/// requests share the one that is in force.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// All objects of the revision.
    pub set: Set,
    /// By model name.
    models: HashMap<Name, Model>,
    /// By path prefix.
    services: HashMap<Name, Arc<Service>>,
    /// By digest of the API key.
    teams: HashMap<Name, Arc<Team>>,
}

impl Snapshot {
    /// Indexes all objects of `set`.
    pub fn new(set: Set) -> Self {
        let mut snapshot = Self::default();
        for route in set.routes() {
            match &route.target {
                Target::Model { model, version } => {
                    let entry = Model { route: route.name.clone(), version: version.clone() };
                    snapshot.models.insert(model.clone(), entry);
                }
                Target::Service { prefix, service } => {
                    if let Some(service) = set.service(service) {
                        snapshot.services.insert(prefix.clone(), Arc::new(service.clone()));
                    }
                }
            }
        }
        for team in set.teams() {
            snapshot.teams.insert(team.key_digest.clone(), Arc::new(team.clone()));
        }
        snapshot.set = set;
        snapshot
    }

    /// Number of the revision; 0 before the first configuration is loaded.
    pub fn revision(&self) -> u64 {
        self.set.revision()
    }

    /// The route of `model`; `None` if no route serves it.
    pub fn model(&self, model: &str) -> Option<&Model> {
        self.models.get(model)
    }

    /// The service whose prefix is the first segment of `path`, which must start with `/`; `None`
    /// if there is none.
    pub fn service(&self, path: &str) -> Option<&Arc<Service>> {
        let end = path[1..].find('/').map_or(path.len(), |at| at + 1);
        self.services.get(&path[..end])
    }

    /// The team with this API key, found by the key's digest; `None` for an unknown key.
    pub fn team(&self, api_key: &str) -> Option<&Arc<Team>> {
        self.teams.get(blake3::hash(api_key.as_bytes()).to_hex().as_str())
    }

    /// The upstreams in the form that the router's pool takes.
    pub fn specs(&self) -> impl Iterator<Item = Spec> {
        self.set.upstreams().map(|upstream| Spec {
            name: upstream.name.clone(),
            dc: upstream.dc.clone(),
            runs: match &upstream.runs {
                Workload::Version(name) | Workload::Service(name) => name.clone(),
            },
            slots: upstream.slots,
            leaving: upstream.leaving,
        })
    }
}
