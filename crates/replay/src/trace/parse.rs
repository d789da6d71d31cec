//! Parser of trace files.

use std::collections::HashMap;
use std::num::NonZeroU32;
use std::str::FromStr;
use std::time::Duration;

use carobdrift_test_support::fleet::Service;
use carobdrift_test_support::target::Noise;
use serde::Deserialize;
use serde::de::IntoDeserializer;
use thiserror::Error;

use super::{
    Action, Block, Event, Expectation, Overhead, PlatformFault, Policy, Quantity, Stream, Trace,
    check,
};

/// Error in a line of a trace.
#[derive(Debug, Error)]
#[error("line {line}: {problem}")]
pub struct Error {
    /// Line number, starting at 1.
    pub line: usize,
    /// Cause of the error.
    pub problem: Problem,
}

/// Cause of an error in a trace.
#[derive(Debug, Error)]
pub enum Problem {
    /// The first word of the line is not the name of a statement.
    #[error("unknown statement {0:?}")]
    UnknownStatement(String),
    /// A required word or setting is missing.
    #[error("`{0}` is missing")]
    Missing(&'static str),
    /// A word or the value of a setting is invalid.
    #[error("invalid value {text:?} for `{name}`")]
    Invalid {
        /// Name of the parameter, setting or expected keyword.
        name: &'static str,
        /// Text found in its place.
        text: String,
    },
    /// The block is not defined on an earlier line.
    #[error("block {0:?} is not defined above")]
    UnknownBlock(String),
    /// The service is not defined on an earlier line.
    #[error("service {0:?} is not defined above")]
    UnknownService(String),
    /// The service has no target with this number.
    #[error("service {service:?} has no target {number}")]
    UnknownTarget {
        /// Name of the service.
        service: String,
        /// Number of the target.
        number: u32,
    },
    /// No entry with this number has been started at the time of the event.
    #[error("entry {0} has not been started at that time")]
    UnknownEntry(u32),
    /// The block does not include this policy.
    #[error("block {block:?} does not include policy {policy}")]
    PolicyNotInBlock {
        /// Name of the block.
        block: String,
        /// Policy, as the trace names it.
        policy: String,
    },
    /// The statement appears after a block.
    #[error("`{0}` must come before all blocks")]
    Misplaced(&'static str),
    /// The trace defines no service.
    #[error("the trace defines no service")]
    NoService,
}

impl FromStr for Trace {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let mut trace = Self {
            entries: 1,
            callers: 1,
            seed: 1,
            services: Vec::new(),
            streams: Vec::new(),
            blocks: Vec::new(),
            overhead: None,
            expectations: Vec::new(),
        };
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            parse_statement(&mut trace, &mut Tokens::new(line)).map_err(|problem| Error {
                line: index + 1,
                problem,
            })?;
        }
        if trace.services.is_empty() {
            return Err(Error {
                line: text.lines().count().max(1),
                problem: Problem::NoService,
            });
        }
        Ok(trace)
    }
}

fn parse_statement(trace: &mut Trace, tokens: &mut Tokens<'_>) -> Result<(), Problem> {
    match tokens.next("statement")? {
        "entries" if !trace.blocks.is_empty() => return Err(Problem::Misplaced("entries")),
        "entries" => trace.entries = tokens.positive("entries")?,
        "callers" => trace.callers = tokens.positive("callers")?,
        "seed" => trace.seed = tokens.parse("seed")?,
        "service" => trace.services.push(parse_service(tokens)?),
        "calls" => {
            let stream = parse_stream(tokens)?;
            check::service(trace, &stream.service)?;
            trace.streams.push(stream);
        }
        "block" => trace.blocks.push(parse_block(tokens)?),
        "in" => {
            let index = check::block(trace, tokens.next("block")?)?;
            let event = parse_event(tokens)?;
            check::event(trace, index, &event)?;
            trace.blocks[index].events.push(event);
        }
        "direct" => {
            let service = tokens.next("service")?.to_owned();
            check::service(trace, &service)?;
            let calls = tokens.settings().parse("calls")?;
            trace.overhead = Some(Overhead { service, calls });
        }
        "expect" => {
            let expectation = parse_expectation(tokens)?;
            check::expectation(trace, &expectation)?;
            trace.expectations.push(expectation);
        }
        other => return Err(Problem::UnknownStatement(other.to_owned())),
    }
    Ok(())
}

fn parse_service(tokens: &mut Tokens<'_>) -> Result<Service, Problem> {
    let name = tokens.next("service")?.to_owned();
    let settings = tokens.settings();
    Ok(Service {
        name,
        targets: settings.positive("targets")?,
        slots: settings.positive("slots")?,
        zones: settings
            .text("zones")?
            .split(',')
            .map(str::to_owned)
            .collect(),
        mean_ms: settings.parse("mean_ms")?,
        sigma: settings.parse("sigma")?,
        noise: Some(Noise {
            factor: settings.parse("noise_factor")?,
            duration_ms: settings.parse("noise_ms")?,
            share: settings.parse::<f64>("noise_percent")? / 100.0,
        }),
    })
}

fn parse_stream(tokens: &mut Tokens<'_>) -> Result<Stream, Problem> {
    let service = tokens.next("service")?.to_owned();
    let method = tokens.next("method")?.to_owned();
    let path = tokens.next("path")?.to_owned();
    let settings = tokens.settings();
    Ok(Stream {
        service,
        method,
        path,
        load: settings.parse("load")?,
        keyed: settings.0.get("keys") == Some(&"issued"),
    })
}

fn parse_block(tokens: &mut Tokens<'_>) -> Result<Block, Problem> {
    let name = tokens.next("block")?.to_owned();
    let settings = tokens.settings();
    let policies = settings
        .text("policies")?
        .split(',')
        .map(str::parse)
        .collect::<Result<_, _>>()?;
    let warmup = if settings.0.contains_key("warmup") {
        settings.seconds("warmup")?
    } else {
        Duration::ZERO
    };
    Ok(Block {
        name,
        policies,
        rounds: settings.parse("rounds")?,
        turn_duration: settings.seconds("seconds")?,
        warmup,
        events: Vec::new(),
    })
}

impl FromStr for Policy {
    type Err = Problem;

    fn from_str(text: &str) -> Result<Self, Problem> {
        let invalid = || Problem::Invalid {
            name: "policy",
            text: text.to_owned(),
        };
        let (name, distribution) = text.split_once(':').ok_or_else(invalid)?;
        let steered = match distribution {
            "steered" => true,
            "spread" => false,
            _ => return Err(invalid()),
        };
        // Policies have the names that documents use, so the document type
        // decides which names exist.
        let parsed: Result<carobdrift_document::Policy, serde::de::value::Error> =
            carobdrift_document::Policy::deserialize(name.into_deserializer());
        parsed.map_err(|_| invalid())?;
        Ok(Self {
            name: name.to_owned(),
            steered,
        })
    }
}

fn parse_event(tokens: &mut Tokens<'_>) -> Result<Event, Problem> {
    tokens.expect("at")?;
    let offset = tokens.seconds("time")?;
    let action = match tokens.next("event")? {
        "pause" => {
            tokens.expect("entry")?;
            let entry = tokens.parse("entry")?;
            tokens.expect("for")?;
            let duration = tokens.seconds("duration")?;
            Action::Pause { entry, duration }
        }
        "kill" => {
            tokens.expect("entry")?;
            Action::Kill {
                entry: tokens.parse("entry")?,
            }
        }
        "stop" => {
            tokens.expect("entry")?;
            Action::Stop {
                entry: tokens.parse("entry")?,
            }
        }
        "join" => Action::Join,
        "platform" => Action::Platform(match tokens.next("fault")? {
            "down" => PlatformFault::Down,
            "stale-list" => PlatformFault::StaleList,
            "lose-replies" => PlatformFault::LoseReplies,
            "swallow" => PlatformFault::Swallow,
            "clear" => PlatformFault::Clear,
            other => return Err(invalid("fault", other)),
        }),
        "slow-probes" => Action::SlowProbes {
            service: tokens.next("service")?.to_owned(),
            duration: tokens.seconds("duration")?,
        },
        "drain" => Action::Drain {
            service: tokens.next("service")?.to_owned(),
            target: tokens.parse("target")?,
        },
        "edit" => Action::Edit {
            service: tokens.next("service")?.to_owned(),
        },
        other => return Err(invalid("event", other)),
    };
    Ok(Event { offset, action })
}

fn parse_expectation(tokens: &mut Tokens<'_>) -> Result<Expectation, Problem> {
    let quantity = match tokens.next("quantity")? {
        "p99" => return parse_ratio(tokens),
        "probes" => {
            tokens.expect("<=")?;
            tokens.expect("budget")?;
            return Ok(Expectation::ProbesWithinBudget);
        }
        "added_p99_ms" => Quantity::AddedP99,
        "doubled" => Quantity::Doubled,
        "crossed" => Quantity::Crossed,
        "false_not_run" => Quantity::FalseNotRun,
        "lost" => Quantity::Lost,
        "in_force_seconds" => Quantity::InForce,
        other => return Err(invalid("quantity", other)),
    };
    tokens.expect("<=")?;
    let limit = tokens.parse("limit")?;
    Ok(Expectation::AtMost { quantity, limit })
}

fn parse_ratio(tokens: &mut Tokens<'_>) -> Result<Expectation, Problem> {
    let service = tokens.next("service")?.to_owned();
    let block = tokens.next("block")?.to_owned();
    let policy = tokens.next("policy")?.to_owned();
    tokens.expect("<=")?;
    let limit = tokens.parse("limit")?;
    tokens.expect("of")?;
    let baseline = tokens.next("baseline")?.to_owned();
    Ok(Expectation::Ratio {
        service,
        block,
        policy,
        limit,
        baseline,
    })
}

fn invalid(name: &'static str, text: &str) -> Problem {
    Problem::Invalid {
        name,
        text: text.to_owned(),
    }
}

fn parse<T: FromStr>(name: &'static str, text: &str) -> Result<T, Problem> {
    text.parse().map_err(|_| invalid(name, text))
}

fn positive(name: &'static str, text: &str) -> Result<u32, Problem> {
    let number: NonZeroU32 = parse(name, text)?;
    Ok(number.get())
}

fn seconds(name: &'static str, text: &str) -> Result<Duration, Problem> {
    Duration::try_from_secs_f64(parse(name, text)?).map_err(|_| invalid(name, text))
}

/// Whitespace-separated words of one line.
struct Tokens<'a>(std::str::SplitWhitespace<'a>);

impl<'a> Tokens<'a> {
    fn new(line: &'a str) -> Self {
        Self(line.split_whitespace())
    }

    fn next(&mut self, name: &'static str) -> Result<&'a str, Problem> {
        self.0.next().ok_or(Problem::Missing(name))
    }

    fn parse<T: FromStr>(&mut self, name: &'static str) -> Result<T, Problem> {
        parse(name, self.next(name)?)
    }

    fn positive(&mut self, name: &'static str) -> Result<u32, Problem> {
        positive(name, self.next(name)?)
    }

    fn seconds(&mut self, name: &'static str) -> Result<Duration, Problem> {
        seconds(name, self.next(name)?)
    }

    fn expect(&mut self, keyword: &'static str) -> Result<(), Problem> {
        let found = self.next(keyword)?;
        if found == keyword {
            Ok(())
        } else {
            Err(invalid(keyword, found))
        }
    }

    /// Consumes the rest of the line and returns its `name=value` words.
    fn settings(&mut self) -> Settings<'a> {
        Settings(
            self.0
                .by_ref()
                .filter_map(|word| word.split_once('='))
                .collect(),
        )
    }
}

/// Values of `name=value` words, by name.
struct Settings<'a>(HashMap<&'a str, &'a str>);

impl<'a> Settings<'a> {
    fn text(&self, name: &'static str) -> Result<&'a str, Problem> {
        self.0.get(name).copied().ok_or(Problem::Missing(name))
    }

    fn parse<T: FromStr>(&self, name: &'static str) -> Result<T, Problem> {
        parse(name, self.text(name)?)
    }

    fn positive(&self, name: &'static str) -> Result<u32, Problem> {
        positive(name, self.text(name)?)
    }

    fn seconds(&self, name: &'static str) -> Result<Duration, Problem> {
        seconds(name, self.text(name)?)
    }
}
