//! Dispatch of frames from peers.

use std::time::Duration;

use carobdrift_balance::{Evidence, Sample};
use carobdrift_catalog::Catalog;
use carobdrift_idempotency::Ledger;
use carobdrift_measure::{Requester, Shares};
use carobdrift_membership::Envelope;
use carobdrift_proxy::Services;
use carobdrift_units::Instance;
use carobdrift_wire::{Answer, Frame, Query};

/// Dispatcher of peers' frames to the components that handle them.
pub(crate) struct Dispatcher {
    pub(crate) catalog: Catalog,
    pub(crate) ledger: Ledger,
    pub(crate) services: Services,
    pub(crate) shares: Shares,
}

impl Dispatcher {
    /// Dispatches frames until the links close.
    pub(crate) fn spawn(self, mut frames: carobdrift_membership::Inbox) {
        tokio::spawn(async move {
            while let Some(envelope) = frames.recv().await {
                self.dispatch(envelope);
            }
        });
    }

    fn dispatch(&self, envelope: Envelope) {
        let Envelope {
            from,
            frame,
            responder,
        } = envelope;
        match &frame {
            Frame::Query { query, .. } => {
                if let Some(responder) = responder {
                    responder.send(self.answer(&from, query));
                }
            }
            Frame::Leaving {
                service,
                target,
                evidence,
                start,
                version,
            } => {
                if let Some(pool) = self.services.pool(service) {
                    pool.mark_leaving_as_of(
                        target,
                        decode_evidence(*evidence),
                        start.as_deref(),
                        *version,
                    );
                }
            }
            Frame::Recall { service } => self.shares.recall(service),
            Frame::Sample(sample) => {
                if let Some(pool) = self.services.pool(&sample.service) {
                    pool.record_sample(&decode_sample(sample));
                }
            }
            _ => self.catalog.handle_frame(&from, &frame),
        }
    }

    fn answer(&self, from: &Instance, query: &Query) -> Answer {
        if let Query::Share {
            asker,
            sequence,
            services,
        } = query
        {
            let requester = Requester {
                instance: from.clone(),
                incarnation: *asker,
                sequence: *sequence,
            };
            return self.shares.answer(&requester, services);
        }
        self.ledger
            .answer(query)
            .or_else(|| self.catalog.answer(from, query))
            .unwrap_or(Answer::Unavailable)
    }
}

fn decode_evidence(evidence: carobdrift_wire::Evidence) -> Evidence {
    match evidence {
        carobdrift_wire::Evidence::List => Evidence::List,
        carobdrift_wire::Evidence::Response => Evidence::Response,
        carobdrift_wire::Evidence::Document => Evidence::Document,
    }
}

fn decode_sample(sample: &carobdrift_wire::Sample) -> Sample {
    Sample {
        target: sample.target.clone(),
        in_flight: sample.in_flight,
        latency: Duration::from_micros(sample.latency_us),
        age: sample.age.duration(),
        start: sample.start.clone(),
        healthy: sample.healthy,
        draining: false,
    }
}
