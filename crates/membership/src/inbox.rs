//! Frames and queries that arrive from peers.

use std::sync::Arc;

use carobdrift_units::Instance;
use carobdrift_wire::{Answer, Frame, encode};
use tokio::sync::mpsc;

use crate::metrics::Metrics;
use crate::outbound::Outbound;

/// Receiver of what peers send. A peer's connection is not read while the inbox
/// is full, so a process that stops taking frames also stops answering pings.
pub type Inbox = mpsc::Receiver<Envelope>;

/// One frame of a peer.
#[derive(Debug)]
pub struct Envelope {
    /// The peer that sent it.
    pub from: Instance,
    /// The frame: `Announce`, `Leaving`, `Sample` or `Query`.
    pub frame: Frame,
    /// Way back to the peer; present for a `Query`.
    pub responder: Option<Responder>,
}

/// Way back to the peer that sent a query.
#[derive(Debug)]
pub struct Responder {
    pub(crate) request: u64,
    pub(crate) outbound: Arc<Outbound>,
    pub(crate) metrics: Metrics,
}

impl Responder {
    /// Answers the query. An answer that is too large for a frame becomes
    /// `Answer::Unavailable`.
    pub fn send(self, answer: Answer) {
        let request = self.request;
        let frame = Frame::Reply { request, answer };
        let bytes = encode(&frame).or_else(|error| {
            log::warn!(target: "links", "answer to a query can't be sent: {error}");
            encode(&Frame::Reply {
                request,
                answer: Answer::Unavailable,
            })
        });
        match bytes {
            Ok(bytes) => {
                if self.outbound.push(bytes.into()).is_err() {
                    self.metrics.drop_frame("reply");
                }
            }
            Err(error) => log::error!(target: "links", "answer can't be encoded: {error}"),
        }
    }
}
