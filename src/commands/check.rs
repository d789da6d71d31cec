//! `carobdrift check`

use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use carobdrift_document::{Document, Fault};
use clap::Args;
use eyre::WrapErr;

/// Validate documents offline.
///
/// Prints every fault as FILE: PATH: PROBLEM on standard output. The ceilings
/// of an installation are checked only by `document put`.
///
/// Exit status: 0 when all documents are valid, 1 when one has a fault or can't
/// be read, 2 on wrong usage.
#[derive(Debug, Args)]
pub(crate) struct Check {
    /// Documents to validate, as JSON files
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
}

impl Check {
    pub(crate) fn execute(self) -> ExitCode {
        let mut status = ExitCode::SUCCESS;
        for file in &self.files {
            match read_faults(file) {
                Ok(faults) if faults.is_empty() => {}
                Ok(faults) => {
                    for fault in faults {
                        println!("{}: {fault}", file.display());
                    }
                    status = ExitCode::FAILURE;
                }
                Err(error) => {
                    eprintln!("error: {error:#}");
                    status = ExitCode::FAILURE;
                }
            }
        }
        status
    }
}

fn read_faults(file: &Path) -> eyre::Result<Vec<Fault>> {
    let bytes = fs::read(file).wrap_err_with(|| format!("could not read {}", file.display()))?;
    Ok(match Document::parse(&bytes) {
        Ok(_) => Vec::new(),
        Err(rejection) => rejection.faults,
    })
}
