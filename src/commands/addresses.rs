//! `carobdrift addresses`

use std::process::ExitCode;

use carobdrift_units::{Service, Zone};
use clap::Args;

use crate::client::{Client, Settings};
use crate::output::print;

/// Show the addresses that a caller of a service should use.
///
/// Prints the answer as JSON: the caller addresses in order of preference, the
/// time to live of the answer, and a prefix for idempotency keys. No token is
/// needed.
///
/// Exit status: 0 on success, 1 on failure, 2 on wrong usage.
#[derive(Debug, Args)]
pub(crate) struct Addresses {
    /// Service that the caller wants to call
    #[arg(long, env = "CAROBDRIFT_SERVICE", value_name = "SERVICE")]
    service: Service,

    /// Availability zone of the caller
    #[arg(long, env = "CAROBDRIFT_ZONE", value_name = "ZONE")]
    zone: Zone,

    #[command(flatten)]
    client: Settings,
}

impl Addresses {
    pub(crate) async fn execute(self) -> eyre::Result<ExitCode> {
        let client = Client::open(self.client)?;
        let path = format!("/v1/addresses?service={}&zone={}", self.service, self.zone);
        let response = client.get(&path).await?;
        print(format_args!("{response:#}"))?;
        Ok(ExitCode::SUCCESS)
    }
}
