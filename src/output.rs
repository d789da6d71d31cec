//! Standard output that its reader may close early.

use std::fmt::Display;
use std::io::{self, ErrorKind, Write};

use eyre::WrapErr;

/// Prints a line. A reader that closes the pipe early, such as `head`, is not an
/// error.
pub(crate) fn print(line: impl Display) -> eyre::Result<()> {
    match writeln!(io::stdout(), "{line}") {
        Err(error) if error.kind() == ErrorKind::BrokenPipe => Ok(()),
        result => result.wrap_err("could not write to standard output"),
    }
}
