//! Parsing of traces.

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

/// A line of a trace that can't be read.
#[derive(Debug, Error)]
#[error("line {line}: {problem}")]
pub struct Error {
    /// Number of the line, starting at 1.
    pub line: usize,
    /// What is wrong with it.
    pub problem: Problem,
}

/// What is wrong with a line.
#[derive(Debug, Error)]
pub enum Problem {
    /// The statement is not known.
    #[error("unknown statement {0:?}")]
    UnknownStatement(String),
    /// A word is missing.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A word does not parse.
    #[error("{name} can't be {text:?}")]
    Invalid {
        /// What the word stands for.
        name: &'static str,
        /// The word.
        text: String,
    },
    /// The block is not defined above.
    #[error("no block {0:?} above")]
    UnknownBlock(String),
    /// The service is not defined above.
    #[error("no service {0:?} above")]
    UnknownService(String),
    /// The service has no target of this number.
    #[error("service {service:?} has no target {number}")]
    UnknownTarget {
        /// The service.
        service: String,
        /// The number.
        number: u32,
    },
    /// No entry of this number runs at that time.
    #[error("no entry {0} at that time")]
    UnknownEntry(u32),
    /// The block does not run this policy.
    #[error("block {block:?} does not run policy {policy}")]
    PolicyNotInBlock {
        /// The block.
        block: String,
        /// The policy.
        policy: String,
    },
    /// The statement must stand above all blocks.
    #[error("{0} must stand above all blocks")]
    Misplaced(&'static str),
    /// The trace ends without a service.
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
            read_statement(&mut trace, &mut Words::of(line)).map_err(|problem| Error {
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

fn read_statement(trace: &mut Trace, words: &mut Words<'_>) -> Result<(), Problem> {
    match words.next("statement")? {
        "entries" if !trace.blocks.is_empty() => return Err(Problem::Misplaced("entries")),
        "entries" => trace.entries = words.positive("entries")?,
        "callers" => trace.callers = words.positive("callers")?,
        "seed" => trace.seed = words.parse("seed")?,
        "service" => trace.services.push(read_service(words)?),
        "calls" => {
            let stream = read_stream(words)?;
            check::service(trace, &stream.service)?;
            trace.streams.push(stream);
        }
        "block" => trace.blocks.push(read_block(words)?),
        "in" => {
            let index = check::block(trace, words.next("block")?)?;
            let event = read_event(words)?;
            check::event(trace, index, &event)?;
            trace.blocks[index].events.push(event);
        }
        "direct" => {
            let service = words.next("service")?.to_owned();
            check::service(trace, &service)?;
            let calls = words.settings().parse("calls")?;
            trace.overhead = Some(Overhead { service, calls });
        }
        "expect" => {
            let expectation = read_expectation(words)?;
            check::expectation(trace, &expectation)?;
            trace.expectations.push(expectation);
        }
        other => return Err(Problem::UnknownStatement(other.to_owned())),
    }
    Ok(())
}

fn read_service(words: &mut Words<'_>) -> Result<Service, Problem> {
    let name = words.next("service")?.to_owned();
    let settings = words.settings();
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

fn read_stream(words: &mut Words<'_>) -> Result<Stream, Problem> {
    let service = words.next("service")?.to_owned();
    let method = words.next("method")?.to_owned();
    let path = words.next("path")?.to_owned();
    let settings = words.settings();
    Ok(Stream {
        service,
        method,
        path,
        load: settings.parse("load")?,
        keyed: settings.0.get("keys") == Some(&"issued"),
    })
}

fn read_block(words: &mut Words<'_>) -> Result<Block, Problem> {
    let name = words.next("block")?.to_owned();
    let settings = words.settings();
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
        let (name, spread) = text.split_once(':').ok_or_else(invalid)?;
        let steered = match spread {
            "steered" => true,
            "spread" => false,
            _ => return Err(invalid()),
        };
        // The names are those of documents, which refuse any other.
        let known: Result<carobdrift_document::Policy, serde::de::value::Error> =
            carobdrift_document::Policy::deserialize(name.into_deserializer());
        known.map_err(|_| invalid())?;
        Ok(Self {
            name: name.to_owned(),
            steered,
        })
    }
}

fn read_event(words: &mut Words<'_>) -> Result<Event, Problem> {
    words.literal("at")?;
    let offset = words.seconds("time")?;
    let action = match words.next("event")? {
        "pause" => {
            words.literal("entry")?;
            let entry = words.parse("entry")?;
            words.literal("for")?;
            let duration = words.seconds("length")?;
            Action::Pause { entry, duration }
        }
        "kill" => {
            words.literal("entry")?;
            Action::Kill {
                entry: words.parse("entry")?,
            }
        }
        "stop" => {
            words.literal("entry")?;
            Action::Stop {
                entry: words.parse("entry")?,
            }
        }
        "join" => Action::Join,
        "platform" => Action::Platform(match words.next("fault")? {
            "down" => PlatformFault::Down,
            "stale-list" => PlatformFault::StaleList,
            "lose-replies" => PlatformFault::LoseReplies,
            "swallow" => PlatformFault::Swallow,
            "clear" => PlatformFault::Clear,
            other => return Err(invalid("fault", other)),
        }),
        "slow-probes" => Action::SlowProbes {
            service: words.next("service")?.to_owned(),
            duration: words.seconds("length")?,
        },
        "drain" => Action::Drain {
            service: words.next("service")?.to_owned(),
            target: words.parse("target")?,
        },
        "edit" => Action::Edit {
            service: words.next("service")?.to_owned(),
        },
        other => return Err(invalid("event", other)),
    };
    Ok(Event { offset, action })
}

fn read_expectation(words: &mut Words<'_>) -> Result<Expectation, Problem> {
    let quantity = match words.next("quantity")? {
        "p99" => return read_ratio(words),
        "probes" => {
            words.literal("<=")?;
            words.literal("budget")?;
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
    words.literal("<=")?;
    let limit = words.parse("limit")?;
    Ok(Expectation::AtMost { quantity, limit })
}

fn read_ratio(words: &mut Words<'_>) -> Result<Expectation, Problem> {
    let service = words.next("service")?.to_owned();
    let block = words.next("block")?.to_owned();
    let policy = words.next("policy")?.to_owned();
    words.literal("<=")?;
    let limit = words.parse("limit")?;
    words.literal("of")?;
    let baseline = words.next("baseline")?.to_owned();
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

struct Words<'a>(std::str::SplitWhitespace<'a>);

impl<'a> Words<'a> {
    fn of(line: &'a str) -> Self {
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

    fn literal(&mut self, word: &'static str) -> Result<(), Problem> {
        let found = self.next(word)?;
        if found == word {
            Ok(())
        } else {
            Err(invalid(word, found))
        }
    }

    fn settings(&mut self) -> Settings<'a> {
        Settings(
            self.0
                .by_ref()
                .filter_map(|word| word.split_once('='))
                .collect(),
        )
    }
}

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
