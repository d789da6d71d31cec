//! Start, life and stop of an entry.

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

use crate::error::Error;
use crate::inbox::Inbox;
use crate::measuring::Measuring;
use crate::settings::Settings;
use crate::statement;
use crate::steered::Steered;
use crate::subjects;
use crate::targets;

/// Time that every leaving entry waits at the least, so that peers have seen
/// that it leaves before it closes its listener.
const LEAVING_PAUSE: Duration = Duration::from_secs(1);

/// Where an entry is reached.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Addresses {
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address of the administration and discovery API.
    pub admin: SocketAddr,
    /// Address for links of other entries.
    pub peer: SocketAddr,
}

/// A running entry. Dropping it stops it at once.
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
    /// Starts all parts of an entry over a platform.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be listened on.
    pub async fn spawn(settings: Settings, platform: Arc<dyn Backend>) -> Result<Self, Error> {
        let registry = Registry::new();
        registry.register(Box::new(ProcessCollector::for_self()))?;
        let client = open_client(&settings, platform, &registry)?;
        let incarnation = Incarnation::random();

        // The links introduce this entry with the addresses of its other
        // listeners, so those are bound first.
        let callers = TcpListener::bind(settings.listen.caller)
            .await
            .map_err(Error::Caller)?;
        let caller = callers.local_addr().map_err(Error::Caller)?;
        let server = Server::bind(admin_settings(&settings, &registry)?)?;
        let (links, inbox) = bind_links(
            &settings,
            incarnation,
            reachable(&settings, caller),
            reachable(&settings, server.address()),
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
        let (local, departures) = open_local(&settings);
        let teams = open_teams(&settings);
        let services = open_services(&catalog, local, teams.clone(), &registry)?;
        let claims = Claims::open(
            claim_settings(&settings),
            ledger.clone(),
            Arc::new(links.clone()),
            client.clone(),
            &registry,
        )?;

        let subjects = subjects::follow(&catalog, &services);
        let measuring = Measuring::spawn(
            &settings,
            incarnation,
            client,
            &links,
            &subjects,
            carobdrift_measure::Metrics::register(&registry)?,
        );
        targets::spread_departures(links.clone(), departures);
        targets::follow_list(&links, subjects.clone());
        Inbox {
            catalog: catalog.clone(),
            ledger: ledger.clone(),
            services: services.clone(),
            shares: measuring.shares,
        }
        .spawn(inbox);
        let leaving = Arc::new(AtomicBool::new(false));
        statement::Parts {
            links: links.clone(),
            catalog: catalog.clone(),
            ledger: ledger.clone(),
            services: services.clone(),
            subjects,
            teams: teams.into_values().collect(),
            steered: Steered::new(&settings),
            leaving: Arc::clone(&leaving),
        }
        .spawn();

        let components = Components::new(catalog.clone(), links, ledger, pools(&services));
        let server = server.serve(Arc::new(components));
        let listener = Listener::serve(
            callers,
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
            leases: measuring.leases,
            _prober: measuring.prober,
        })
    }

    /// Where the entry is reached.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Stops gracefully: leaves the address answer, waits until no caller can
    /// hold an answer with this entry any more, and ends the requests in
    /// progress. Returns whether all of them ended in time.
    pub async fn shut_down(self) -> bool {
        self.leaving.store(true, Ordering::Release);
        let pause = self.longest_time_to_live().max(LEAVING_PAUSE);
        log::info!(
            target: "entry",
            "Leaving. Callers may hold this address for another {} ms.",
            pause.as_millis()
        );
        // The leases are given back meanwhile, so that a successor need not
        // wait for their end.
        tokio::join!(tokio::time::sleep(pause), self.leases.release());
        let ended = self
            .listener
            .drain(self.settings.drain_timeout_ms.duration())
            .await;
        if let Err(error) = self.server.close().await {
            log::warn!(target: "entry", "The API did not close: {error}");
        }
        log::info!(target: "entry", "Stopped.");
        ended
    }

    fn longest_time_to_live(&self) -> Duration {
        self.catalog
            .documents()
            .values()
            .map(|held| held.document.steering.ttl_ms.duration())
            .max()
            .unwrap_or_default()
    }
}

fn pools(services: &Services) -> PoolLookup {
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

/// What the pools know of this entry, and the targets that they mark as
/// leaving.
fn open_local(settings: &Settings) -> (Config, mpsc::UnboundedReceiver<Departure>) {
    let (sender, departures) = mpsc::unbounded_channel();
    let mut local = Config::new(settings.instance.clone(), settings.zone.clone());
    local.max_entries = settings.max_entries;
    local.departures = Some(sender);
    (local, departures)
}

fn open_services(
    catalog: &Catalog,
    local: Config,
    teams: BTreeMap<Team, Quota>,
    registry: &Registry,
) -> Result<Services, Error> {
    let balance = carobdrift_balance::Metrics::register(registry)?;
    let proxy = carobdrift_proxy::Metrics::register(registry)?;
    Ok(Services::new(
        Arc::new(catalog.clone()),
        local,
        teams,
        balance,
        proxy,
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

fn open_teams(settings: &Settings) -> BTreeMap<Team, Quota> {
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

/// Address under which others reach a listener of this instance.
fn reachable(settings: &Settings, bound: SocketAddr) -> SocketAddr {
    let ip: IpAddr = settings.advertise_ip.unwrap_or(bound.ip());
    SocketAddr::new(ip, bound.port())
}
