//! One entry without a disk.
//!
//! [`Node::spawn`] starts an entry over a [`Store`], which holds what lasts.
//! The entry keeps its [`Replica`] current from the store and from the other
//! entries, serves callers through a gateway, and answers which entries callers
//! should use.

mod directory;
mod follower;
mod logging;
mod monitor;
mod node;
mod reader;
mod replica;
mod settings;
mod store;

pub use logging::{LogError, set_up_logging};
pub use node::{Error, Node};
pub use replica::Replica;
pub use settings::Settings;
pub use store::{Batch, Item, Record, Store, Subject};
