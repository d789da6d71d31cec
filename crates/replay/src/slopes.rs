//! Slopes: growth of the resource use of an entry with the sizes that it depends
//! on.
//!
//! Each experiment varies one size, measures several quantities at three or
//! more points, and fits a straight line to each quantity.

mod experiment;
mod fit;
mod usage;

use std::fmt;
use std::path::Path;

use carobdrift_test_support::fleet;
use serde::Serialize;
use thiserror::Error;

pub use experiment::Experiment;
pub use fit::Line;

/// Error that ends the measurement of slopes.
#[derive(Debug, Error)]
pub enum Error {
    /// The testbed could not be set up or controlled.
    #[error(transparent)]
    Fleet(#[from] fleet::Error),
    /// An entry did not become ready or did not adopt a document in time.
    #[error("entry {0} did not become ready or adopt a document in time")]
    Timeout(String),
    /// A document edit was not accepted.
    #[error("edit of the document of {service} was not accepted: {response}")]
    Edit {
        /// Name of the service.
        service: String,
        /// Response body of the administration API.
        response: String,
    },
    /// A quantity cannot be measured.
    #[error("measurement failed: {0}")]
    Measurement(&'static str),
    /// The document template cannot be read.
    #[error("cannot read document template: {0}")]
    Template(#[from] std::io::Error),
    /// The document template is not valid JSON.
    #[error("document template is not valid JSON: {0}")]
    Json(#[from] serde_json::Error),
}

/// Results of the experiments.
#[derive(Debug, Serialize)]
pub struct Report {
    /// One slope for each experiment and quantity.
    pub slopes: Vec<Slope>,
}

/// Growth of one quantity with one size.
#[derive(Debug, Serialize)]
pub struct Slope {
    /// Name of the varied size.
    pub size: &'static str,
    /// Name of the measured quantity, with its unit.
    pub quantity: &'static str,
    /// Measured points, as pairs of size and quantity.
    pub points: Vec<(f64, f64)>,
    /// Line fitted to the points.
    pub line: Line,
}

/// Runs the selected experiments, or all if none is selected.
///
/// `examples` is the directory with the document template. Entries write their
/// logs to `logs`.
///
/// # Errors
///
/// Fails when a testbed cannot be set up or controlled, or a quantity cannot be
/// measured.
pub async fn run(
    examples: &Path,
    logs: Option<&Path>,
    selected: &[Experiment],
) -> Result<Report, Error> {
    let selected = if selected.is_empty() {
        &Experiment::ALL[..]
    } else {
        selected
    };
    let mut slopes = Vec::new();
    for experiment in selected {
        let measurements = experiment::run(*experiment, examples, logs).await?;
        for (quantity, points) in measurements {
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
