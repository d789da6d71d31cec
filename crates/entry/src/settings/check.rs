//! Validation of all settings together.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use carobdrift_document::Ceilings;
use carobdrift_units::{Millis, Secret, Team};
use thiserror::Error;

use super::{Arguments, Format, Keys, Listen, Log, Platform, Settings, TeamLimit};

/// Shortest peer secret or token, in bytes; shorter ones can be guessed.
const MIN_SECRET_BYTES: usize = 16;

/// Fault of a setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Flag of the setting.
    pub flag: &'static str,
    /// Problem with the value.
    pub problem: Problem,
}

/// Problem with the value of a setting.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Problem {
    /// The setting has no default and was not given.
    #[error("is required")]
    Missing,
    /// The value does not parse.
    #[error("{value:?} is invalid: {reason}")]
    Invalid {
        /// Value as given.
        value: String,
        /// Reason why the value does not parse.
        reason: String,
    },
    /// A secret does not parse; the message does not contain its value.
    #[error("item {position} is invalid: {reason}")]
    InvalidSecret {
        /// Position in the list, starting at 1.
        position: usize,
        /// Reason why the secret does not parse.
        reason: &'static str,
    },
    /// The value must be at least 1.
    #[error("must be at least 1")]
    Zero,
    /// A secret is too short.
    #[error("must have at least {MIN_SECRET_BYTES} characters")]
    ShortSecret,
    /// A team is listed twice.
    #[error("names team {0} twice")]
    DuplicateTeam(Team),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "--{} {}", self.flag, self.problem)
    }
}

/// Rejection of settings with at least one fault.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{} setting(s) are invalid", faults.len())]
pub struct Rejection {
    /// All faults that were found.
    pub faults: Vec<Fault>,
}

impl Settings {
    /// Checks flags and environment variables.
    ///
    /// # Errors
    ///
    /// Returns every faulty setting.
    pub fn check(arguments: &Arguments) -> Result<Self, Rejection> {
        let mut faults = Faults::default();
        let settings = parse_all(arguments, &mut faults);
        match settings {
            Some(settings) if faults.0.is_empty() => Ok(settings),
            _ => Err(Rejection { faults: faults.0 }),
        }
    }
}

/// Parses every value and records its faults before it returns `None` for a
/// missing or invalid one.
fn parse_all(arguments: &Arguments, faults: &mut Faults) -> Option<Settings> {
    let a = arguments;
    let instance = faults.required("instance", a.instance.as_deref());
    let cell = faults.parse("cell", &a.cell);
    let zone = faults.required("zone", a.zone.as_deref());
    let region = faults.parse("region", &a.region);
    let caller = faults.parse("caller-listen", &a.caller_listen);
    let admin = faults.parse("admin-listen", &a.admin_listen);
    let peer = faults.parse("peer-listen", &a.peer_listen);
    let advertise_ip = a
        .advertise_ip
        .as_deref()
        .map(|ip| faults.parse("advertise-ip", ip));
    let platform = platform(a, faults);
    let peer_secret = faults.peer_secret(a.peer_secret.as_deref());
    let operator_token = a
        .operator_token
        .as_deref()
        .map(|token| faults.secret("operator-token", token));
    let team_tokens = team_tokens(&a.team_tokens, faults);
    let team_limits = team_limits(&a.team_limits, faults);
    let max_entries = faults.positive("max-entries", &a.max_entries);
    let steering_rate = faults.parse("steering-rate", &a.steering_rate);
    let keys = keys(a, faults);
    let ceilings = ceilings(a, faults);
    let drain_timeout_ms = faults.parse("drain-timeout-ms", &a.drain_timeout_ms);
    let log = log(a, faults);
    Some(Settings {
        instance: instance?,
        cell: cell?,
        zone: zone?,
        region: region?,
        listen: Listen {
            caller: caller?,
            admin: admin?,
            peer: peer?,
        },
        advertise_ip: transpose(advertise_ip)?,
        platform: platform?,
        peer_secret: peer_secret?,
        operator_token: transpose(operator_token)?,
        team_tokens,
        team_limits,
        max_entries: max_entries?,
        steering_rate: steering_rate?,
        keys: keys?,
        ceilings: ceilings?,
        drain_timeout_ms: drain_timeout_ms?,
        log: log?,
    })
}

/// Returns `None` for an optional setting that is present but invalid.
#[expect(
    clippy::option_option,
    reason = "the outer option is presence, the inner one is validity"
)]
fn transpose<T>(setting: Option<Option<T>>) -> Option<Option<T>> {
    match setting {
        None => Some(None),
        Some(None) => None,
        Some(Some(value)) => Some(Some(value)),
    }
}

fn platform(a: &Arguments, faults: &mut Faults) -> Option<Platform> {
    let address = faults.required("platform-address", a.platform_address.as_deref());
    let timeout = faults.positive_millis("platform-timeout-ms", &a.platform_timeout_ms);
    Some(Platform {
        address: address?,
        timeout_ms: timeout?,
    })
}

fn keys(a: &Arguments, faults: &mut Faults) -> Option<Keys> {
    let lifetime = faults.positive_millis("key-lifetime-ms", &a.key_lifetime_ms);
    let memory = faults.parse("key-memory-bytes", &a.key_memory_bytes);
    let writes = faults.parse("key-writes-per-second", &a.key_writes_per_second);
    Some(Keys {
        lifetime_ms: lifetime?,
        memory_bytes: memory?,
        writes_per_second: writes?,
    })
}

fn ceilings(a: &Arguments, faults: &mut Faults) -> Option<Ceilings> {
    let deadline_ms = faults.positive_millis("ceiling-deadline-ms", &a.ceiling_deadline_ms);
    let ttl_ms = faults.positive_millis("ceiling-ttl-ms", &a.ceiling_ttl_ms);
    let max_in_flight = faults.positive("ceiling-in-flight", &a.ceiling_in_flight);
    let max_per_second = faults.positive("ceiling-per-second", &a.ceiling_per_second);
    let max_queue = faults.parse("ceiling-queue", &a.ceiling_queue);
    let probes = faults.parse("ceiling-probes-per-second", &a.ceiling_probes_per_second);
    let max_attempts = faults.positive("ceiling-attempts", &a.ceiling_attempts);
    let retry_percent = faults.parse("ceiling-retry-percent", &a.ceiling_retry_percent);
    let hedge_percent = faults.parse("ceiling-hedge-percent", &a.ceiling_hedge_percent);
    let connections = faults.positive("ceiling-connections", &a.ceiling_connections);
    let request_bytes = faults.parse("ceiling-request-bytes", &a.ceiling_request_bytes);
    let response_bytes = faults.parse("ceiling-response-bytes", &a.ceiling_response_bytes);
    Some(Ceilings {
        max_in_flight: max_in_flight?,
        max_per_second: max_per_second?,
        max_queue: max_queue?,
        probes_per_second_per_target: probes?,
        max_attempts: max_attempts?,
        retry_percent: retry_percent?,
        hedge_percent: hedge_percent?,
        deadline_ms: deadline_ms?,
        ttl_ms: ttl_ms?,
        max_per_target: connections?,
        max_request_bytes: request_bytes?,
        max_response_bytes: response_bytes?,
    })
}

fn log(a: &Arguments, faults: &mut Faults) -> Option<Log> {
    let level = faults.parse("log-level", &a.log_level);
    let format = faults.parse("log-format", &a.log_format);
    Some(Log {
        level: level?,
        format: format?,
    })
}

fn team_tokens(items: &[String], faults: &mut Faults) -> BTreeMap<Team, Secret> {
    let mut tokens = BTreeMap::new();
    for (index, item) in items.iter().enumerate() {
        let parsed = item
            .split_once('=')
            .and_then(|(team, token)| Some((team.parse::<Team>().ok()?, token)));
        let Some((team, token)) = parsed else {
            faults.push(
                "team-token",
                Problem::InvalidSecret {
                    position: index + 1,
                    reason: "expected TEAM=TOKEN with a valid team name",
                },
            );
            continue;
        };
        if let Some(token) = faults.secret("team-token", token)
            && tokens.insert(team.clone(), token).is_some()
        {
            faults.push("team-token", Problem::DuplicateTeam(team));
        }
    }
    tokens
}

fn team_limits(items: &[String], faults: &mut Faults) -> BTreeMap<Team, TeamLimit> {
    let mut limits = BTreeMap::new();
    for item in items {
        let Some((team, limit)) = parse_team_limit(item) else {
            faults.invalid("team-limit", item, "expected TEAM=IN_FLIGHT/PER_SECOND");
            continue;
        };
        if limits.insert(team.clone(), limit).is_some() {
            faults.push("team-limit", Problem::DuplicateTeam(team));
        }
    }
    limits
}

fn parse_team_limit(item: &str) -> Option<(Team, TeamLimit)> {
    let (team, limit) = item.split_once('=')?;
    let (in_flight, per_second) = limit.split_once('/')?;
    Some((
        team.parse().ok()?,
        TeamLimit {
            in_flight: in_flight.parse().ok()?,
            per_second: per_second.parse().ok()?,
        },
    ))
}

#[derive(Default)]
struct Faults(Vec<Fault>);

impl Faults {
    fn push(&mut self, flag: &'static str, problem: Problem) {
        self.0.push(Fault { flag, problem });
    }

    fn invalid(&mut self, flag: &'static str, value: &str, reason: &str) {
        self.push(
            flag,
            Problem::Invalid {
                value: value.to_owned(),
                reason: reason.to_owned(),
            },
        );
    }

    fn parse<T: FromStr<Err: fmt::Display>>(
        &mut self,
        flag: &'static str,
        text: &str,
    ) -> Option<T> {
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.invalid(flag, text, &error.to_string());
                None
            }
        }
    }

    fn required<T: FromStr<Err: fmt::Display>>(
        &mut self,
        flag: &'static str,
        text: Option<&str>,
    ) -> Option<T> {
        if let Some(text) = text {
            self.parse(flag, text)
        } else {
            self.push(flag, Problem::Missing);
            None
        }
    }

    fn positive(&mut self, flag: &'static str, text: &str) -> Option<u32> {
        let number = self.parse(flag, text)?;
        if number == 0 {
            self.push(flag, Problem::Zero);
            return None;
        }
        Some(number)
    }

    fn positive_millis(&mut self, flag: &'static str, text: &str) -> Option<Millis> {
        let millis = self.parse(flag, text)?;
        if millis == Millis(0) {
            self.push(flag, Problem::Zero);
            return None;
        }
        Some(millis)
    }

    fn peer_secret(&mut self, text: Option<&str>) -> Option<Secret> {
        if let Some(text) = text {
            self.secret("peer-secret", text)
        } else {
            self.push("peer-secret", Problem::Missing);
            None
        }
    }

    fn secret(&mut self, flag: &'static str, text: &str) -> Option<Secret> {
        if text.len() < MIN_SECRET_BYTES {
            self.push(flag, Problem::ShortSecret);
            return None;
        }
        Some(Secret::new(text.to_owned()))
    }
}

impl FromStr for Format {
    type Err = UnknownFormat;

    fn from_str(text: &str) -> Result<Self, UnknownFormat> {
        match text {
            "plain" => Ok(Self::Plain),
            "json" => Ok(Self::Json),
            _ => Err(UnknownFormat),
        }
    }
}

/// Error for a text that names no log format.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("expected plain or json")]
pub struct UnknownFormat;
