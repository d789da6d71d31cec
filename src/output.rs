//! Output that its reader may close.

use std::fmt::Display;
use std::io::{self, ErrorKind, Write};

use eyre::WrapErr;

/// Prints a line. A reader that has seen enough, such as `head`, is no failure.
pub(crate) fn print(line: impl Display) -> eyre::Result<()> {
    match writeln!(io::stdout(), "{line}") {
        Err(error) if error.kind() == ErrorKind::BrokenPipe => Ok(()),
        result => result.wrap_err("could not write to standard output"),
    }
}
