//! Exchange of target states with the instance list and with peers.

use std::time::Duration;

use carobdrift_balance::{Departure, Evidence};
use carobdrift_measure::Subjects;
use carobdrift_membership::Links;
use carobdrift_platform::{State, Target};
use carobdrift_wire::{Frame, Sample};
use tokio::sync::mpsc;

/// Interval at which a leaving mark is sent again. A peer whose link was down at
/// the first broadcast receives a later one.
const BROADCAST_INTERVAL: Duration = Duration::from_secs(1);

/// Number of times that a leaving mark is sent.
const BROADCASTS: u32 = 3;

/// Sends the results of this entry's probes to peers.
pub(crate) fn broadcast_samples(links: Links, mut samples: mpsc::Receiver<Sample>) {
    tokio::spawn(async move {
        while let Some(sample) = samples.recv().await {
            links.broadcast(&Frame::Sample(sample));
        }
    });
}

/// Sends leaving marks to peers.
pub(crate) fn broadcast_departures(
    links: Links,
    mut departures: mpsc::UnboundedReceiver<Departure>,
) {
    tokio::spawn(async move {
        while let Some(departure) = departures.recv().await {
            let links = links.clone();
            tokio::spawn(async move {
                let frame = leaving_frame(departure);
                for _ in 0..BROADCASTS {
                    links.broadcast(&frame);
                    tokio::time::sleep(BROADCAST_INTERVAL).await;
                }
            });
        }
    });
}

/// Marks targets that the instance list shows as leaving, and records the start
/// ids in the list, whenever the list or the documents change.
pub(crate) fn watch_list(links: &Links, mut subjects: Subjects) {
    let mut listed = links.listed_targets();
    tokio::spawn(async move {
        loop {
            let targets = listed.borrow_and_update().clone();
            apply(&targets, &mut subjects);
            let changed = tokio::select! {
                changed = listed.changed() => changed,
                changed = subjects.changed() => changed,
            };
            if changed.is_err() {
                return;
            }
        }
    });
}

fn apply(targets: &[Target], subjects: &mut Subjects) {
    let subjects = subjects.borrow_and_update().clone();
    for target in targets {
        let subject = subjects
            .iter()
            .find(|subject| subject.document.service == target.service);
        let Some(subject) = subject else {
            continue;
        };
        if let Some(start) = &target.start {
            subject.pool.record_start(&target.id, start);
        }
        if target.state == State::Leaving {
            subject
                .pool
                .mark_leaving(&target.id, Evidence::List, target.start.as_deref());
        }
    }
}

fn leaving_frame(departure: Departure) -> Frame {
    Frame::Leaving {
        service: departure.service,
        target: departure.target,
        evidence: match departure.evidence {
            Evidence::List => carobdrift_wire::Evidence::List,
            Evidence::Response => carobdrift_wire::Evidence::Response,
            Evidence::Document => carobdrift_wire::Evidence::Document,
        },
        start: departure.start,
        version: departure.version,
    }
}
