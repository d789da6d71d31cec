//! Validation of references: a statement may name only items defined above it,
//! so that a replay does not fail after it has started.

use std::time::Duration;

use carobdrift_test_support::fleet::Service;

use super::parse::Problem;
use super::{Action, Block, Event, Expectation, Trace};

pub(super) fn service<'a>(trace: &'a Trace, name: &str) -> Result<&'a Service, Problem> {
    trace
        .services
        .iter()
        .find(|service| service.name == name)
        .ok_or_else(|| Problem::UnknownService(name.to_owned()))
}

/// Returns the index of a block.
pub(super) fn block(trace: &Trace, name: &str) -> Result<usize, Problem> {
    trace
        .blocks
        .iter()
        .position(|block| block.name == name)
        .ok_or_else(|| Problem::UnknownBlock(name.to_owned()))
}

pub(super) fn event(trace: &Trace, block: usize, event: &Event) -> Result<(), Problem> {
    match &event.action {
        Action::Pause { entry, .. } | Action::Kill { entry } | Action::Stop { entry } => {
            if (1..=started_entries(trace, block, event.offset)).contains(entry) {
                Ok(())
            } else {
                Err(Problem::UnknownEntry(*entry))
            }
        }
        Action::Join | Action::Platform(_) => Ok(()),
        Action::SlowProbes { service: name, .. } | Action::Edit { service: name } => {
            service(trace, name).map(|_| ())
        }
        Action::Drain {
            service: name,
            target,
        } => {
            if (1..=service(trace, name)?.targets).contains(target) {
                Ok(())
            } else {
                Err(Problem::UnknownTarget {
                    service: name.clone(),
                    number: *target,
                })
            }
        }
    }
}

pub(super) fn expectation(trace: &Trace, expectation: &Expectation) -> Result<(), Problem> {
    let Expectation::Ratio {
        service: name,
        block: block_name,
        policy,
        baseline,
        ..
    } = expectation
    else {
        return Ok(());
    };
    service(trace, name)?;
    let block = &trace.blocks[block(trace, block_name)?];
    for policy in [policy, baseline] {
        if !block
            .policies
            .iter()
            .any(|candidate| candidate.to_string() == *policy)
        {
            return Err(Problem::PolicyNotInBlock {
                block: block_name.clone(),
                policy: policy.clone(),
            });
        }
    }
    Ok(())
}

/// Returns the number of entries started up to a time within the first turn of a
/// block. Entries that were killed or stopped are included.
fn started_entries(trace: &Trace, block: usize, offset: Duration) -> u32 {
    let joins = |block: &Block, limit: Duration| {
        let events = block.events.iter();
        events
            .filter(|event| matches!(event.action, Action::Join) && event.offset <= limit)
            .fold(0, |joins: u32, _| joins + 1)
    };
    let earlier = trace.blocks[..block].iter().map(|block| {
        block
            .policies
            .iter()
            .fold(0, |sum: u32, _| sum.saturating_add(block.rounds))
            .saturating_mul(joins(block, Duration::MAX))
    });
    trace
        .entries
        .saturating_add(earlier.fold(0, u32::saturating_add))
        .saturating_add(joins(&trace.blocks[block], offset))
}
