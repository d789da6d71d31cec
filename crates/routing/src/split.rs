//! Choice among the services of a route.

use std::collections::HashMap;

use carobdrift_units::Service;

use crate::state::{Backend, Route};

/// Smooth weighted round robin over the services of each route. A random draw
/// would miss the weights by more than a tenth over a few hundred requests.
#[derive(Debug, Default)]
pub struct Splits {
    routes: HashMap<String, Turn>,
}

#[derive(Debug)]
struct Turn {
    backends: Vec<Backend>,
    credit: Vec<i64>,
}

impl Splits {
    /// The service whose turn it is.
    pub fn choose<'a>(&mut self, route: &'a Route) -> Option<&'a Service> {
        if let [only] = route.backends.as_slice() {
            return Some(&only.service);
        }
        let turn = match self.routes.get_mut(&route.name) {
            Some(turn) if turn.backends == route.backends => turn,
            _ => {
                let turn = Turn {
                    backends: route.backends.clone(),
                    credit: vec![0; route.backends.len()],
                };
                self.routes
                    .entry(route.name.clone())
                    .insert_entry(turn)
                    .into_mut()
            }
        };
        turn.next().map(|index| &route.backends[index].service)
    }

    /// Forgets the routes that are not listed any more.
    pub fn retain(&mut self, routes: &[Route]) {
        self.routes
            .retain(|name, _| routes.iter().any(|route| route.name == *name));
    }
}

impl Turn {
    fn next(&mut self) -> Option<usize> {
        let total: i64 = self.backends.iter().map(|b| i64::from(b.weight)).sum();
        if total == 0 {
            return None;
        }
        for (credit, backend) in self.credit.iter_mut().zip(&self.backends) {
            *credit += i64::from(backend.weight);
        }
        let weighted = self.credit.iter().zip(&self.backends).enumerate();
        let (index, _) = weighted
            .filter(|(_, (_, backend))| backend.weight > 0)
            .max_by_key(|(index, (credit, _))| (**credit, std::cmp::Reverse(*index)))?;
        self.credit[index] -= total;
        Some(index)
    }
}
