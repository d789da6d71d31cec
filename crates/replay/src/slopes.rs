//! Slopes: what an entry costs against the sizes that it depends on.
//!
//! Each experiment varies one size, measures several quantities at three or
//! more points, and fits a straight line to each of them.

mod experiment;
mod fit;
mod probe;

use std::fmt;
use std::path::Path;

use carobdrift_test_support::fleet;
use serde::Serialize;
use thiserror::Error;

pub use experiment::Experiment;
pub use fit::Line;

/// Why the slopes could not be measured.
#[derive(Debug, Error)]
pub enum Error {
    /// The installation could not be set up or steered.
    #[error(transparent)]
    Fleet(#[from] fleet::Error),
    /// An entry did not become ready.
    #[error("entry {0} did not become ready")]
    Timeout(String),
    /// A document was refused.
    #[error("document of {service} was refused: {response}")]
    Edit {
        /// The service.
        service: String,
        /// Answer of the administration API.
        response: String,
    },
    /// A figure of a process can't be read.
    #[error("{0} can't be read")]
    Measurement(&'static str),
    /// A document template can't be read.
    #[error("document template can't be read: {0}")]
    Template(#[from] std::io::Error),
    /// A document template is not JSON.
    #[error("document template is not JSON: {0}")]
    Json(#[from] serde_json::Error),
}

/// All measured slopes.
#[derive(Debug, Serialize)]
pub struct Report {
    /// One row for each experiment and quantity.
    pub slopes: Vec<Slope>,
}

/// One quantity against one size.
#[derive(Debug, Serialize)]
pub struct Slope {
    /// What was varied.
    pub size: &'static str,
    /// What was measured, with its unit.
    pub quantity: &'static str,
    /// Measured points: size, quantity.
    pub points: Vec<(f64, f64)>,
    /// Fitted line.
    pub line: Line,
}

/// Runs the chosen experiments, all when none is named.
///
/// # Errors
///
/// Fails when an installation can't be set up or steered.
pub async fn run(
    examples: &Path,
    logs: Option<&Path>,
    chosen: &[Experiment],
) -> Result<Report, Error> {
    let chosen = if chosen.is_empty() {
        &Experiment::ALL[..]
    } else {
        chosen
    };
    let mut slopes = Vec::new();
    for experiment in chosen {
        let figures = experiment::run(*experiment, examples, logs).await?;
        for (quantity, points) in figures {
            slopes.push(Slope {
                size: experiment.size(),
                quantity,
                line: Line::fit(&points),
                points,
            });
        }
    }
    Ok(Report { slopes })
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<18} {:<34} {:>14} {:>14} {:>12}  points",
            "size", "quantity", "at 0", "per unit", "residual"
        )?;
        for slope in &self.slopes {
            write!(
                f,
                "{:<18} {:<34} {:>14.4} {:>14.6} {:>12.4} ",
                slope.size,
                slope.quantity,
                slope.line.intercept,
                slope.line.slope,
                slope.line.residual
            )?;
            for (size, quantity) in &slope.points {
                write!(f, " {size}:{quantity:.4}")?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
