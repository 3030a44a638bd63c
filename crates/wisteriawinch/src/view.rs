//! The configuration in force, indexed for the request path.

use std::collections::HashMap;

use winch_config::{
    object::{Name, Runs, Service, Target, Team},
    set::Set,
};
use winch_route::candidate::Spec;

use crate::prelude::Arc;

/// A model route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    /// The route's name.
    pub route: Name,
    /// The version that serves it when no move is under way.
    pub version: Name,
}

/// One revision, indexed; shared by all requests that started under it.
#[derive(Debug, Default)]
pub struct View {
    /// The whole set.
    pub set: Set,
    models: HashMap<Name, Model>,
    services: HashMap<Name, Arc<Service>>,
    teams: HashMap<Name, Arc<Team>>,
}

impl View {
    /// Indexes a set.
    pub fn new(set: Set) -> Self {
        let mut view = Self::default();
        for route in set.routes() {
            match &route.target {
                Target::Model { model, version } => {
                    let entry = Model { route: route.name.clone(), version: version.clone() };
                    view.models.insert(model.clone(), entry);
                }
                Target::Service { prefix, service } => {
                    if let Some(service) = set.service(service) {
                        view.services.insert(prefix.clone(), Arc::new(service.clone()));
                    }
                }
            }
        }
        for team in set.teams() {
            view.teams.insert(team.key_digest.clone(), Arc::new(team.clone()));
        }
        view.set = set;
        view
    }

    /// The revision.
    pub fn revision(&self) -> u64 {
        self.set.revision()
    }

    /// The route that serves a model.
    pub fn model(&self, model: &str) -> Option<&Model> {
        self.models.get(model)
    }

    /// The service behind the first segment of a path.
    pub fn service(&self, path: &str) -> Option<&Arc<Service>> {
        let end = path[1..].find('/').map_or(path.len(), |at| at + 1);
        self.services.get(&path[..end])
    }

    /// The team with this API key.
    pub fn team(&self, api_key: &str) -> Option<&Arc<Team>> {
        self.teams.get(blake3::hash(api_key.as_bytes()).to_hex().as_str())
    }

    /// The upstreams as the router sees them.
    pub fn specs(&self) -> impl Iterator<Item = Spec> {
        self.set.upstreams().map(|upstream| Spec {
            name: upstream.name.clone(),
            dc: upstream.dc.clone(),
            runs: match &upstream.runs {
                Runs::Version(name) | Runs::Service(name) => name.clone(),
            },
            slots: upstream.slots,
            leaving: upstream.leaving,
        })
    }
}
