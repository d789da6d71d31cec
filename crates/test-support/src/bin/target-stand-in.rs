//! Stand-in for a target, as a program that prints its addresses as one JSON
//! line.

use std::net::SocketAddr;

use carobdrift_test_support::target::{Faults, Noise, ServiceTime, Settings, StandIn};
use clap::Parser;

/// Serves requests as a target does and injects the configured faults.
#[derive(Debug, Parser)]
struct Arguments {
    /// Name stated in the response header `stand-in-name`.
    #[arg(long, default_value = "target")]
    name: String,
    /// Address of the service listener.
    #[arg(long, default_value = "127.0.0.1:0")]
    address: SocketAddr,
    /// Address of the control port.
    #[arg(long, default_value = "127.0.0.1:0")]
    control: SocketAddr,
    /// Number of requests that are executed concurrently.
    #[arg(long, default_value_t = 2)]
    slots: u32,
    /// Mean service time in milliseconds.
    #[arg(long, default_value_t = 10.0)]
    mean_ms: f64,
    /// Standard deviation of the logarithm of the service time.
    #[arg(long, default_value_t = 0.5)]
    sigma: f64,
    /// Factor by which a noisy neighbour lengthens the service time.
    #[arg(long, requires = "noise_ms")]
    noise_factor: Option<f64>,
    /// Length of a burst of the noisy neighbour in milliseconds.
    #[arg(long, requires = "noise_factor")]
    noise_ms: Option<f64>,
    /// Fraction of the time in which the noisy neighbour is active.
    #[arg(long, default_value_t = 0.08)]
    noise_share: f64,
    /// Seed of the random service times.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Initial faults as JSON.
    #[arg(long, value_parser = parse_faults, default_value = "{}")]
    faults: Faults,
}

fn parse_faults(text: &str) -> Result<Faults, serde_json::Error> {
    serde_json::from_str(text)
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let arguments = Arguments::parse();
    let noise = match (arguments.noise_factor, arguments.noise_ms) {
        (Some(factor), Some(duration_ms)) => Some(Noise {
            factor,
            duration_ms,
            share: arguments.noise_share,
        }),
        _ => None,
    };
    let mut stand_in = StandIn::bind(Settings {
        name: arguments.name,
        address: arguments.address,
        control: arguments.control,
        slots: arguments.slots,
        service_time: ServiceTime {
            mean_ms: arguments.mean_ms,
            sigma: arguments.sigma,
            noise,
            seed: arguments.seed,
        },
        faults: arguments.faults,
    })
    .await?;
    let addresses = serde_json::json!({
        "address": stand_in.address(),
        "control": stand_in.control(),
        "start": stand_in.start_id(),
    });
    println!("{addresses}");
    stand_in.wait().await;
    Ok(())
}
