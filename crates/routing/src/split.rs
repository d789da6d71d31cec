//! Traffic split among the services of a route.

use std::collections::{HashMap, HashSet};

use carobdrift_units::Service;

use crate::state::{Backend, Route};

/// Traffic splits of all routes, by smooth weighted round robin. With a random
/// choice, the shares would deviate from the weights by more than a tenth over a
/// few hundred requests.
#[derive(Debug, Default)]
pub struct Splits {
    routes: HashMap<String, Split>,
}

#[derive(Debug)]
struct Split {
    backends: Vec<Backend>,
    /// Current weight of each backend in the round robin.
    credits: Vec<i64>,
}

impl Splits {
    /// Returns the service for the next request of a route, or `None` if no
    /// service has a weight above zero.
    pub fn choose<'a>(&mut self, route: &'a Route) -> Option<&'a Service> {
        if let [only] = route.backends.as_slice() {
            return Some(&only.service);
        }
        let split = match self.routes.get_mut(&route.name) {
            Some(split) if split.backends == route.backends => split,
            _ => {
                let split = Split {
                    backends: route.backends.clone(),
                    credits: vec![0; route.backends.len()],
                };
                self.routes
                    .entry(route.name.clone())
                    .insert_entry(split)
                    .into_mut()
            }
        };
        split.next().map(|index| &route.backends[index].service)
    }

    /// Discards the splits of routes whose name is not in `names`.
    pub fn retain(&mut self, names: &HashSet<&str>) {
        self.routes.retain(|name, _| names.contains(name.as_str()));
    }
}

impl Split {
    fn next(&mut self) -> Option<usize> {
        let total: i64 = self
            .backends
            .iter()
            .map(|backend| i64::from(backend.weight))
            .sum();
        if total == 0 {
            return None;
        }
        for (credit, backend) in self.credits.iter_mut().zip(&self.backends) {
            *credit += i64::from(backend.weight);
        }
        let weighted = self.credits.iter().zip(&self.backends).enumerate();
        let (index, _) = weighted
            .filter(|(_, (_, backend))| backend.weight > 0)
            .max_by_key(|(index, (credit, _))| (**credit, std::cmp::Reverse(*index)))?;
        self.credits[index] -= total;
        Some(index)
    }
}
