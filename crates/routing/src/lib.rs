//! Desired state of an installation: routes, services, workspaces and limits.
//!
//! [`State`] is one version of the desired state as an operator wrote it.
//! [`Table`] looks up the route of a request and the workspace
//! of an API key, and [`Splits`] chooses among the
//! services of a route in proportion to their weights. A [`History`] holds the
//! [`Difference`]s between recent versions.

mod difference;
mod split;
mod state;
mod table;
mod workspace;

pub use difference::{Difference, History, Mismatch};
pub use split::Splits;
pub use state::{Backend, Fault, Kind, Limits, Route, Service, State, Warmup};
pub use table::{Table, host_name};
pub use workspace::{KeyDigest, Quota, Workspace};
