//! Lookup of routes and workspaces.

use std::collections::HashMap;
use std::sync::Arc;

use crate::state::{Route, State};
use crate::workspace::{KeyDigest, Workspace};

/// Routing table: a desired state with its routes indexed by host, and its
/// workspaces by API key.
#[derive(Debug)]
pub struct Table {
    state: State,
    /// Routes of each host, longest prefix first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
    /// Workspace of each API key; `None` for a key that several workspaces list.
    keys: HashMap<KeyDigest, Option<Arc<Workspace>>>,
}

impl Table {
    /// Builds the routing table of a state.
    #[must_use]
    pub fn new(state: State) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in &state.routes {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(Arc::clone(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut keys: HashMap<KeyDigest, Option<Arc<Workspace>>> = HashMap::new();
        for workspace in state.workspaces.values() {
            for key in &workspace.keys {
                keys.entry(*key)
                    .and_modify(|holder| {
                        if holder
                            .as_ref()
                            .is_none_or(|other| other.name != workspace.name)
                        {
                            *holder = None;
                        }
                    })
                    .or_insert_with(|| Some(Arc::clone(workspace)));
            }
        }
        Self { state, hosts, keys }
    }

    /// Returns the state from which the table was built.
    #[must_use]
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the route of a host with the longest prefix of `path`. `host` is a
    /// host name without a port.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.host_routes(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns the workspace that holds an API key. A key that several workspaces
    /// list belongs to none of them.
    #[must_use]
    pub fn workspace(&self, key: &KeyDigest) -> Option<&Arc<Workspace>> {
        self.keys.get(key)?.as_ref()
    }

    /// Returns the routes of a host, longest prefix first.
    #[must_use]
    pub fn host_routes(&self, host: &str) -> Option<&[Arc<Route>]> {
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        Some(routes)
    }
}

/// Returns the host name in a `Host` header field, without its port.
#[must_use]
pub fn host_name(field: &str) -> &str {
    match field.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => field,
    }
}
