//! Least-squares fit of straight lines.

use serde::Serialize;

/// Straight line fitted to points.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Line {
    /// Value at size 0.
    pub intercept: f64,
    /// Growth per unit of size.
    pub slope: f64,
    /// Root mean square of the vertical distances between the points and the line.
    pub residual: f64,
}

impl Line {
    /// Fits a line to points by least squares. With fewer than two different
    /// sizes, the slope is 0.
    #[must_use]
    pub fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.iter().fold(0.0, |count, _| count + 1.0);
        if count == 0.0 {
            return Self {
                intercept: 0.0,
                slope: 0.0,
                residual: 0.0,
            };
        }
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let variation_x: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let covariation: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = if variation_x > 0.0 {
            covariation / variation_x
        } else {
            0.0
        };
        let intercept = mean_y - slope * mean_x;
        let squared_errors: f64 = points
            .iter()
            .map(|(x, y)| (y - (intercept + slope * x)).powi(2))
            .sum();
        Self {
            intercept,
            slope,
            residual: (squared_errors / count).sqrt(),
        }
    }
}
