//! Tests of the target stand-in, the caller and the load generator.

mod caller;
mod target;

/// Lock that is held while a program is started. A test that needs a listener to
/// be closed at once must hold the lock too, because a child process keeps the sockets
/// of its parent open until it executes its program.
pub(crate) static PROGRAM_START: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());
