//! The server and its settings.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};

use carobdrift_document::Ceilings;
use carobdrift_units::PerSecond;
use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, BuildError, ConfigDropshot, HttpServer,
    ServerBuilder,
};
use prometheus::Registry;
use semver::Version;
use thiserror::Error;

use crate::backend::Backend;
use crate::context::Context;
use crate::steering::Steering;
use crate::tokens::Tokens;
use crate::{discovery, documents, instances, log, operations};

/// Largest request body, in bytes. Above the limit for documents, so that a
/// document that is slightly too large is refused with a typed fault.
const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;

/// Settings of the API server.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Accepted bearer tokens.
    pub tokens: Tokens,
    /// Ceilings that every new document must respect.
    pub ceilings: Ceilings,
    /// Rate of calls of one service per steered entry above which the number of
    /// steered entries doubles.
    pub steering_rate: PerSecond,
    /// Registry of the metrics to show.
    pub registry: Registry,
}

/// Failure to start or stop the server.
#[derive(Debug, Error)]
pub enum Error {
    /// The listener could not be opened.
    #[error("could not start the administration API: {0}")]
    Bind(#[from] BuildError),
    /// An endpoint conflicts with another endpoint.
    #[error("could not register an endpoint: {0}")]
    Endpoint(#[from] ApiDescriptionRegisterError),
    /// The description of the API could not be generated.
    #[error("could not generate the description of the administration API: {0}")]
    Description(#[from] serde_json::Error),
    /// The server failed while stopping.
    #[error("the administration API did not stop cleanly: {0}")]
    Close(String),
}

/// Listener of an entry that is still starting. Serves the health check and the
/// metrics, and refuses all other requests as not ready.
pub struct Listener(HttpServer<Context>);

/// Running server of the API.
pub struct Server(HttpServer<Context>);

impl Server {
    /// Opens the listener. The address of the listener is then known before the
    /// parts of the entry that announce the address start. Must be called
    /// within a Tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound, or when endpoints conflict with
    /// each other.
    pub fn bind(settings: Settings) -> Result<Listener, Error> {
        let context = Context {
            backend: OnceLock::new(),
            tokens: settings.tokens,
            ceilings: settings.ceilings,
            steering: Steering::new(settings.steering_rate),
            registry: settings.registry,
        };
        let config = ConfigDropshot {
            bind_address: settings.address,
            default_request_body_max_bytes: MAX_BODY_BYTES,
            ..ConfigDropshot::default()
        };
        let server = ServerBuilder::new(description()?, context, log::logger())
            .config(config)
            .start()?;
        Ok(Listener(server))
    }

    /// Returns the address of the listener.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.0.local_addr()
    }

    /// Stops accepting connections and waits for requests in progress.
    ///
    /// # Errors
    ///
    /// Fails when a task of the server has failed.
    pub async fn close(self) -> Result<(), Error> {
        self.0.close().await.map_err(Error::Close)
    }
}

impl Listener {
    /// Returns the address of the listener.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.0.local_addr()
    }

    /// Starts to serve all endpoints from the given backend.
    #[must_use]
    pub fn serve(self, backend: Arc<dyn Backend>) -> Server {
        self.0.app_private().backend.get_or_init(|| backend);
        Server(self.0)
    }
}

/// Returns the `OpenAPI` description of the API, as committed in
/// `docs/openapi.json`.
///
/// # Errors
///
/// Fails when endpoints conflict with each other.
pub fn openapi() -> Result<String, Error> {
    let version = Version::new(1, 0, 0);
    let description = description()?
        .openapi("carobdrift administration and discovery", version)
        .description("Documents, their edits, addresses for callers, and the state of an entry.")
        .json()?;
    Ok(format!("{description:#}\n"))
}

fn description() -> Result<ApiDescription<Context>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(documents::list_documents)?;
    api.register(documents::read_document)?;
    api.register(documents::edit_document)?;
    api.register(documents::list_history)?;
    api.register(documents::read_past_document)?;
    api.register(documents::read_status)?;
    api.register(documents::read_edit)?;
    api.register(instances::list_targets)?;
    api.register(instances::list_instances)?;
    api.register(discovery::list_addresses)?;
    api.register(operations::check_health)?;
    api.register(operations::check_readiness)?;
    api.register(operations::read_metrics)?;
    Ok(api)
}
