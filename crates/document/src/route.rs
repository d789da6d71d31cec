//! Matching of requests to routes.

use http::Method;

use crate::model::{Document, Route};

impl Document {
    /// The most specific route that takes a request.
    #[must_use]
    pub fn route(&self, method: &Method, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.methods.iter().any(|m| m == method.as_str()))
            .filter(|route| matches(&route.path, path))
            .max_by_key(|route| specificity(&route.path))
    }
}

fn matches(pattern: &str, path: &str) -> bool {
    let mut segments = path.trim_start_matches('/').split('/');
    for expected in pattern.trim_start_matches('/').split('/') {
        if expected == "**" {
            return true;
        }
        match segments.next() {
            Some(found) if expected == "*" || expected == found => {}
            _ => return false,
        }
    }
    segments.next().is_none()
}

fn specificity(pattern: &str) -> Vec<u8> {
    pattern
        .trim_start_matches('/')
        .split('/')
        .map(|segment| match segment {
            "**" => 0,
            "*" => 1,
            _ => 2,
        })
        .collect()
}
