//! Matching of requests to routes.

use http::Method;

use crate::model::{Document, Route};
use crate::pattern;

impl Document {
    /// Returns the most specific route that matches a request.
    ///
    /// `path` is the path of the request target without its query. Segments are
    /// compared after percent-decoding.
    #[must_use]
    pub fn route(&self, method: &Method, path: &str) -> Option<&Route> {
        let segments = pattern::segments(path)?;
        self.routes
            .iter()
            .filter(|route| route.methods.iter().any(|name| name == method.as_str()))
            .filter(|route| pattern::matches(&route.path, &segments))
            .max_by_key(|route| pattern::specificity(&route.path))
    }
}
