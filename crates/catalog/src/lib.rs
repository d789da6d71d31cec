//! Documents in force, their confirmation and their edits.
//!
//! [`Catalog::spawn`] keeps the documents of the cell current from the
//! platform's table and from the other entries. [`Catalog::standing`] tells
//! whether they are known to be the newest ones; a call is dispatched only
//! under a standing that permits it. [`Catalog::edit`] replaces a document.

mod catalog;
mod edit;
mod edition;
mod error;
mod history;
mod metrics;
mod observe;
mod poll;
mod recover;
mod spread;
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
