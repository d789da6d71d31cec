//! Startup and shutdown of an entry.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use carobdrift_admin::{Components, PoolLookup, Server, Tokens};
use carobdrift_balance::{Config, Departure, Quota};
use carobdrift_catalog::Catalog;
use carobdrift_document::Limits;
use carobdrift_idempotency::{Claims, Ledger};
use carobdrift_measure::{Leases, Prober};
use carobdrift_membership::Links;
use carobdrift_platform::{Backend, Client};
use carobdrift_proxy::{Listener, Services};
use carobdrift_units::{Incarnation, Secret, Team};
use prometheus::Registry;
use prometheus::process_collector::ProcessCollector;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use crate::dispatcher::Dispatcher;
use crate::error::Error;
use crate::measuring::MeasureTasks;
use crate::publisher::Publisher;
use crate::ranker::Ranker;
use crate::settings::Settings;
use crate::subjects;
use crate::targets;

/// Shortest time for which an entry announces that it is leaving before it closes
/// its listener, so that its peers learn it first.
const MIN_LEAVING_TIME: Duration = Duration::from_secs(1);

/// Addresses of an entry.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Addresses {
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address of the administration and discovery API.
    pub admin: SocketAddr,
    /// Address for links of other entries.
    pub peer: SocketAddr,
}

/// Running entry. Dropping the entry stops it at once.
pub struct Entry {
    addresses: Addresses,
    settings: Settings,
    catalog: Catalog,
    leaving: Arc<AtomicBool>,
    listener: Listener,
    server: Server,
    leases: Leases,
    _prober: Prober,
}

impl Entry {
    /// Starts all components of an entry on a platform.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener can't be bound, a token is invalid or a
    /// component can't start.
    pub async fn spawn(settings: Settings, platform: Arc<dyn Backend>) -> Result<Self, Error> {
        let registry = Registry::new();
        registry.register(Box::new(ProcessCollector::for_self()))?;
        let client = open_client(&settings, platform, &registry)?;
        let incarnation = Incarnation::random();

        // The hello of the links holds the addresses of the other listeners, so
        // those are bound first.
        let caller_listener = TcpListener::bind(settings.listen.caller)
            .await
            .map_err(Error::Caller)?;
        let caller = caller_listener.local_addr().map_err(Error::Caller)?;
        let server = Server::bind(admin_settings(&settings, &registry)?)?;
        let (links, inbox) = bind_links(
            &settings,
            incarnation,
            advertised_address(&settings, caller),
            advertised_address(&settings, server.address()),
            client.clone(),
            &registry,
        )
        .await?;
        let addresses = Addresses {
            caller: links.hello().caller,
            admin: links.hello().admin,
            peer: links.hello().peer,
        };

        let catalog = Catalog::spawn(
            client.clone(),
            links.clone(),
            carobdrift_catalog::Metrics::register(&registry)?,
        );
        let ledger = open_ledger(&settings, incarnation);
        let (config, departures) = pool_config(&settings);
        let team_quotas = open_team_quotas(&settings);
        let services = open_services(&catalog, config, team_quotas.clone(), &registry)?;
        let claims = Claims::open(
            claim_settings(&settings),
            ledger.clone(),
            Arc::new(links.clone()),
            client.clone(),
            &registry,
        )?;

        let subjects = subjects::watch_documents(&catalog, &services);
        let measure_tasks = MeasureTasks::spawn(
            &settings,
            incarnation,
            client,
            &links,
            &subjects,
            carobdrift_measure::Metrics::register(&registry)?,
        );
        targets::broadcast_departures(links.clone(), departures);
        targets::watch_list(&links, subjects.clone());
        Dispatcher {
            catalog: catalog.clone(),
            ledger: ledger.clone(),
            services: services.clone(),
            shares: measure_tasks.shares,
        }
        .spawn(inbox);
        let leaving = Arc::new(AtomicBool::new(false));
        Publisher {
            links: links.clone(),
            catalog: catalog.clone(),
            ledger: ledger.clone(),
            services: services.clone(),
            subjects,
            team_quotas: team_quotas.into_values().collect(),
            ranker: Ranker::new(&settings),
            leaving: Arc::clone(&leaving),
        }
        .spawn();

        let components = Components::new(catalog.clone(), links, ledger, pool_lookup(&services));
        let server = server.serve(Arc::new(components));
        let listener = Listener::spawn(
            caller_listener,
            carobdrift_proxy::Settings::default(),
            &settings.instance,
            services,
            claims,
        )?;
        log::info!(
            target: "entry",
            "{} serves callers on {} and the API on {}",
            settings.instance, addresses.caller, addresses.admin
        );
        Ok(Self {
            addresses,
            settings,
            catalog,
            leaving,
            listener,
            server,
            leases: measure_tasks.leases,
            _prober: measure_tasks.prober,
        })
    }

    /// Returns the addresses of the entry.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Shuts down gracefully: withdraws the entry from address answers, waits until
    /// every answer that contains it has expired at the callers, and drains the
    /// requests in progress. Returns whether all of these ended in time.
    pub async fn shut_down(self) -> bool {
        self.leaving.store(true, Ordering::Release);
        let leaving_time = self.max_time_to_live().max(MIN_LEAVING_TIME);
        log::info!(
            target: "entry",
            "leaving; callers may use this address for another {} ms",
            leaving_time.as_millis()
        );
        // The leases are released meanwhile, so that another entry need not wait
        // until they expire.
        tokio::join!(tokio::time::sleep(leaving_time), self.leases.release());
        let drained = self
            .listener
            .drain(self.settings.drain_timeout_ms.duration())
            .await;
        if let Err(error) = self.server.close().await {
            log::warn!(target: "entry", "can't close the API server: {error}");
        }
        log::info!(target: "entry", "stopped");
        drained
    }

    fn max_time_to_live(&self) -> Duration {
        self.catalog
            .documents()
            .values()
            .map(|edition| edition.document.steering.ttl_ms.duration())
            .max()
            .unwrap_or_default()
    }
}

fn pool_lookup(services: &Services) -> PoolLookup {
    let services = services.clone();
    Arc::new(move |service| services.pool(service))
}

fn open_client(
    settings: &Settings,
    platform: Arc<dyn Backend>,
    registry: &Registry,
) -> Result<Client, Error> {
    let client = Client::open(platform, settings.platform.timeout_ms.duration());
    Ok(client.with_metrics(carobdrift_platform::Metrics::register(registry)?))
}

fn admin_settings(
    settings: &Settings,
    registry: &Registry,
) -> Result<carobdrift_admin::Settings, Error> {
    let teams: Vec<String> = settings
        .team_tokens
        .iter()
        .map(|(team, token)| format!("{team}={}", token.expose()))
        .collect();
    let operator = settings.operator_token.as_ref().map(Secret::expose);
    Ok(carobdrift_admin::Settings {
        address: settings.listen.admin,
        tokens: Tokens::parse(operator, &teams)?,
        ceilings: settings.ceilings.clone(),
        steering_rate: settings.steering_rate,
        registry: registry.clone(),
    })
}

async fn bind_links(
    settings: &Settings,
    incarnation: Incarnation,
    caller: SocketAddr,
    admin: SocketAddr,
    client: Client,
    registry: &Registry,
) -> Result<(Links, carobdrift_membership::Inbox), Error> {
    let advertise = settings
        .advertise_ip
        .map(|ip| SocketAddr::new(ip, settings.listen.peer.port()));
    let settings = carobdrift_membership::Settings {
        instance: settings.instance.clone(),
        incarnation,
        cell: settings.cell.clone(),
        zone: settings.zone.clone(),
        caller,
        admin,
        listen: settings.listen.peer,
        advertise,
        secret: settings.peer_secret.clone(),
    };
    let metrics = carobdrift_membership::Metrics::register(registry)?;
    Ok(Links::bind(settings, client, metrics).await?)
}

/// Returns the configuration of the pools, and the receiver of the targets that
/// they mark as leaving.
fn pool_config(settings: &Settings) -> (Config, mpsc::UnboundedReceiver<Departure>) {
    let (sender, departures) = mpsc::unbounded_channel();
    let mut config = Config::new(settings.instance.clone(), settings.zone.clone());
    config.max_entries = settings.max_entries;
    config.departures = Some(sender);
    (config, departures)
}

fn open_services(
    catalog: &Catalog,
    config: Config,
    team_quotas: BTreeMap<Team, Quota>,
    registry: &Registry,
) -> Result<Services, Error> {
    let balance_metrics = carobdrift_balance::Metrics::register(registry)?;
    let proxy_metrics = carobdrift_proxy::Metrics::register(registry)?;
    Ok(Services::new(
        Arc::new(catalog.clone()),
        config,
        team_quotas,
        balance_metrics,
        proxy_metrics,
    ))
}

fn open_ledger(settings: &Settings, incarnation: Incarnation) -> Ledger {
    let limits = carobdrift_idempotency::Limits {
        lifetime: settings.keys.lifetime_ms.duration(),
        memory: settings.keys.memory_bytes,
    };
    Ledger::open(settings.instance.clone(), incarnation, limits)
}

fn claim_settings(settings: &Settings) -> carobdrift_idempotency::Settings {
    carobdrift_idempotency::Settings {
        table_writes_per_second: settings.keys.writes_per_second,
        ..carobdrift_idempotency::Settings::default()
    }
}

fn open_team_quotas(settings: &Settings) -> BTreeMap<Team, Quota> {
    settings
        .team_limits
        .iter()
        .map(|(team, limit)| {
            let limits = Limits {
                max_in_flight: limit.in_flight,
                max_per_second: limit.per_second,
            };
            (team.clone(), Quota::new(limits, settings.max_entries))
        })
        .collect()
}

/// Returns the address under which callers and peers reach a listener of this
/// instance.
fn advertised_address(settings: &Settings, bound: SocketAddr) -> SocketAddr {
    let ip: IpAddr = settings.advertise_ip.unwrap_or(bound.ip());
    SocketAddr::new(ip, bound.port())
}
