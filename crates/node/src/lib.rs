//! One entry, which keeps no data on disk.
//!
//! [`Node::spawn`] starts an entry on top of a [`Store`], which holds all
//! persistent data. The entry keeps its [`Replica`] of the registered targets
//! current from the store and from the other entries, serves callers through a
//! gateway, and tells callers which entries to use.

mod directory;
mod era;
mod evacuation;
mod exporter;
mod follower;
mod logging;
mod node;
mod quota;
mod reader;
mod replica;
mod settings;
mod sources;
mod start;
mod status;
mod store;
mod task;

pub use carobdrift_peers::Evacuation;
pub use evacuation::Evacuations;
pub use logging::{LogError, set_up_logging};
pub use node::{Error, Node};
pub use reader::Position;
pub use replica::Replica;
pub use settings::Settings;
pub use start::{Data, Knowledge, Start};
pub use store::{Batch, Item, Record, Store, Subject};
