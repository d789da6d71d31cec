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

/// Largest request body, in bytes. Somewhat above that of a document, so that
/// one that is too large gets its typed fault.
const BODY_LIMIT: usize = 2 * 1024 * 1024;

/// Settings of the API.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Known bearer tokens.
    pub tokens: Tokens,
    /// Ceilings that every new document must respect.
    pub ceilings: Ceilings,
    /// Calls per second of one service and steered entry above which the number
    /// of steered entries doubles.
    pub steering_rate: PerSecond,
    /// Metrics to show.
    pub registry: Registry,
}

/// Why the server could not start or stop.
#[derive(Debug, Error)]
pub enum Error {
    /// The listener could not be opened.
    #[error("could not start the administration API: {0}")]
    Bind(#[from] BuildError),
    /// An endpoint contradicts another one.
    #[error("could not register an endpoint: {0}")]
    Endpoint(#[from] ApiDescriptionRegisterError),
    /// The description of the API could not be written.
    #[error("could not describe the administration API: {0}")]
    Description(#[from] serde_json::Error),
    /// The server failed while it stopped.
    #[error("the administration API did not stop cleanly: {0}")]
    Close(String),
}

/// A listener whose entry is still starting. It answers as alive and refuses
/// all else as not ready.
pub struct Listener(HttpServer<Context>);

/// The running API.
pub struct Server(HttpServer<Context>);

impl Server {
    /// Opens the listener, so that its address is known before the parts of the
    /// entry that state it start. Must be called within a runtime.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
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
            default_request_body_max_bytes: BODY_LIMIT,
            ..ConfigDropshot::default()
        };
        let server = ServerBuilder::new(description()?, context, log::logger())
            .config(config)
            .start()?;
        Ok(Listener(server))
    }

    /// Address of the listener.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.0.local_addr()
    }

    /// Stops accepting connections and waits for calls in progress.
    ///
    /// # Errors
    ///
    /// Fails when a task of the server has failed.
    pub async fn close(self) -> Result<(), Error> {
        self.0.close().await.map_err(Error::Close)
    }
}

impl Listener {
    /// Address of the listener.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.0.local_addr()
    }

    /// Starts to serve all endpoints.
    #[must_use]
    pub fn serve(self, backend: Arc<dyn Backend>) -> Server {
        self.0.app_private().backend.get_or_init(|| backend);
        Server(self.0)
    }
}

/// The `OpenAPI` description of the API, as committed in `docs/openapi.json`.
///
/// # Errors
///
/// Fails when endpoints contradict each other.
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
