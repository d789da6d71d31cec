//! Random service times: lognormal, lengthened by the bursts of a noisy
//! neighbour.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use serde::{Deserialize, Serialize};

/// Distribution of the service time of a request.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ServiceTime {
    /// Mean in milliseconds; 0 for no service time.
    pub mean_ms: f64,
    /// Standard deviation of the logarithm; 0 for a constant time.
    pub sigma: f64,
    /// Noisy neighbour on the same machine, if any.
    pub noise: Option<Noise>,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// Noisy neighbour that lengthens the service times during bursts.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Noise {
    /// Factor by which the service time is multiplied during a burst.
    pub factor: f64,
    /// Length of a burst in milliseconds.
    pub duration_ms: f64,
    /// Fraction of the time that is covered by bursts, between 0 and 1.
    pub share: f64,
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self {
            mean_ms: 0.0,
            sigma: 0.0,
            noise: None,
            seed: 1,
        }
    }
}

#[derive(Debug)]
pub(super) struct Sampler {
    settings: ServiceTime,
    distribution: Option<LogNormal<f64>>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    rng: StdRng,
    burst_start: Duration,
    burst_end: Duration,
}

impl Sampler {
    pub(super) fn new(settings: ServiceTime) -> Self {
        let mut rng = StdRng::seed_from_u64(settings.seed);
        // The mean of a lognormal is exp(mu + sigma^2 / 2).
        let mu = settings.mean_ms.ln() - settings.sigma * settings.sigma / 2.0;
        let distribution = (settings.mean_ms > 0.0 && settings.sigma > 0.0)
            .then(|| LogNormal::new(mu, settings.sigma).ok())
            .flatten();
        let burst_start = settings
            .noise
            .map_or(Duration::MAX, |noise| sample_gap(noise, &mut rng));
        let state = Mutex::new(State {
            rng,
            burst_start,
            burst_end: burst_start.saturating_add(burst_length(settings.noise)),
        });
        Self {
            settings,
            distribution,
            state,
        }
    }

    /// Samples the service time of a request that starts running `at` after the
    /// start of the stand-in.
    pub(super) fn sample(&self, at: Duration) -> Duration {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let mean = self.settings.mean_ms;
        let millis = self
            .distribution
            .map_or(mean, |distribution| distribution.sample(&mut state.rng));
        let factor = match self.settings.noise {
            Some(noise) => state.noise_factor(noise, at),
            None => 1.0,
        };
        Duration::try_from_secs_f64(millis * factor / 1e3).unwrap_or_default()
    }
}

impl State {
    fn noise_factor(&mut self, noise: Noise, at: Duration) -> f64 {
        while at >= self.burst_end {
            self.burst_start = self
                .burst_end
                .saturating_add(sample_gap(noise, &mut self.rng));
            self.burst_end = self.burst_start.saturating_add(burst_length(Some(noise)));
        }
        if at >= self.burst_start {
            noise.factor
        } else {
            1.0
        }
    }
}

fn burst_length(noise: Option<Noise>) -> Duration {
    // At least 1 us, so that the search for the next burst advances.
    let millis = noise.map_or(0.0, |noise| noise.duration_ms).max(1e-3);
    Duration::try_from_secs_f64(millis / 1e3).unwrap_or(Duration::MAX)
}

/// Samples the gap between two bursts: exponential, with the mean at which
/// bursts cover the configured fraction of the time.
fn sample_gap(noise: Noise, rng: &mut StdRng) -> Duration {
    if noise.share <= 0.0 {
        return Duration::MAX;
    }
    let mean = noise.duration_ms * (1.0 - noise.share) / noise.share;
    let millis = match Exp::new(1.0 / mean) {
        Ok(distribution) => distribution.sample(rng),
        Err(_) => rng.random::<f64>() * mean,
    };
    Duration::try_from_secs_f64(millis / 1e3).unwrap_or(Duration::MAX)
}
