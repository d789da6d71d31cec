//! Replicated service documents of a cell.
//!
//! [`Catalog::spawn`] starts the tasks that keep the documents of the cell up to
//! date from the platform's table and from the other entries.
//! [`Catalog::standing`] returns whether the documents are known to be the newest
//! ones; a call is dispatched only if the standing permits it. [`Catalog::edit`]
//! replaces a document.

mod catalog;
mod distribute;
mod edit;
mod edition;
mod error;
mod history;
mod metrics;
mod monitor;
mod poll;
mod recover;
mod standing;
mod state;
mod store;

pub use catalog::Catalog;
pub use edit::{Acceptance, Edit};
pub use edition::{Documents, Edition};
pub use error::EditError;
pub use metrics::Metrics;
pub use standing::Standing;
pub use store::Outcome;
