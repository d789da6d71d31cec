//! Frames and queries received from peers.

use std::sync::Arc;

use carobdrift_units::Instance;
use carobdrift_wire::{Answer, Frame, encode};
use tokio::sync::mpsc;

use crate::metrics::Metrics;
use crate::outbound::Outbound;

/// Receiver of the frames of the peers. While the inbox is full, the connections of
/// the peers are not read, so a process that stops receiving frames also stops
/// answering pings.
pub type Inbox = mpsc::Receiver<Envelope>;

/// Envelope of a frame that a peer sent.
#[derive(Debug)]
pub struct Envelope {
    /// Peer that sent the frame.
    pub from: Instance,
    /// Frame: `Announce`, `Leaving`, `Recall`, `Sample` or `Query`.
    pub frame: Frame,
    /// Responder for the answer; present if the frame is a `Query`.
    pub responder: Option<Responder>,
}

/// Responder that sends the answer to a query back to the peer.
#[derive(Debug)]
pub struct Responder {
    pub(crate) request: u64,
    pub(crate) outbound: Arc<Outbound>,
    pub(crate) metrics: Metrics,
}

impl Responder {
    /// Sends the answer. An answer that is too large for a frame is replaced by
    /// `Answer::Unavailable`.
    pub fn send(self, answer: Answer) {
        let request = self.request;
        let frame = Frame::Reply { request, answer };
        let bytes = encode(&frame).or_else(|error| {
            log::warn!(target: "links", "can't encode the answer to a query, answering `Unavailable`: {error}");
            encode(&Frame::Reply {
                request,
                answer: Answer::Unavailable,
            })
        });
        match bytes {
            Ok(bytes) => {
                if self.outbound.push(bytes.into()).is_err() {
                    self.metrics.count_dropped_frame("reply");
                }
            }
            Err(error) => log::error!(target: "links", "answer can't be encoded: {error}"),
        }
    }
}
