//! HTTP service that sends the data of this entry to other entries.

use std::io;
use std::net::IpAddr;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use carobdrift_http1::{Request, Response, Rest, Service};
use carobdrift_units::{BitRate, StoreRevision, Version};
use futures_util::stream;
use http::StatusCode;
use serde::Serialize;
use tokio::time::Instant;

use crate::answer::{Targets, Update};
use crate::transfer::{Transfer, Transfers};

/// Size up to which data is sent at once, whatever else the link carries.
const SMALL_BYTES: usize = 16 * 1024;

/// Size of the parts in which data is handed to a connection.
const PART_BYTES: usize = 16 * 1024;

/// Size of the kernel's send buffer of a connection. What waits in it delays the
/// datagrams of this entry, and counts as sent.
const SEND_BUFFER_BYTES: usize = 64 * 1024;

/// Largest number of encoded responses that are kept.
const MAX_ENCODED: usize = 4;

/// Source of the data that this entry serves.
pub(crate) struct Source {
    /// Returns what is newer than a version of the desired state.
    pub(crate) state: Box<dyn Fn(Version) -> Option<Update> + Send + Sync>,
    /// Returns the targets if they are newer than a store revision.
    pub(crate) targets: Box<dyn Fn(Option<StoreRevision>) -> Option<Targets> + Send + Sync>,
    /// Returns other entries that have data as new as this entry's.
    pub(crate) providers: Box<dyn Fn(Subject) -> Vec<IpAddr> + Send + Sync>,
}

/// Kind of data that this entry serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Subject {
    /// Desired state.
    State,
    /// Registered targets.
    Targets,
}

/// Contents of an encoded response. Requesters that need the same contents get the
/// same bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Contents {
    State {
        newest: Version,
        /// Version from which differences lead to the newest one; `None` for the
        /// whole state.
        since: Option<Version>,
    },
    Targets {
        revision: StoreRevision,
    },
}

/// HTTP service for other entries.
pub(crate) struct Server {
    source: Source,
    transfers: Arc<Transfers>,
    /// Last encoded responses, kept because many entries need the same contents at
    /// the same time.
    encoded: Mutex<Vec<(Contents, Bytes)>>,
}

impl Server {
    pub(crate) fn new(source: Source, link: BitRate) -> Self {
        Self {
            source,
            transfers: Arc::new(Transfers::new(link)),
            encoded: Mutex::default(),
        }
    }

    fn state(&self, since: Version) -> Result<Response, postcard::Error> {
        let Some(update) = (self.source.state)(since) else {
            return Ok(Response::new(StatusCode::NO_CONTENT, Bytes::new()));
        };
        let contents = Contents::State {
            newest: update.version().unwrap_or(since),
            since: matches!(update, Update::Differences(_)).then_some(since),
        };
        self.respond(Subject::State, contents, &update)
    }

    fn targets(&self, since: Option<StoreRevision>) -> Result<Response, postcard::Error> {
        let Some(targets) = (self.source.targets)(since) else {
            return Ok(Response::new(StatusCode::NO_CONTENT, Bytes::new()));
        };
        let contents = Contents::Targets {
            revision: targets.revision,
        };
        self.respond(Subject::Targets, contents, &targets)
    }

    /// Responds with data, or with other entries that have it if this one sends too
    /// much already.
    fn respond(
        &self,
        subject: Subject,
        contents: Contents,
        data: &impl Serialize,
    ) -> Result<Response, postcard::Error> {
        let start = Instant::now();
        let bytes = self.encode(contents, data)?;
        if bytes.len() <= SMALL_BYTES {
            return Ok(Response::new(StatusCode::OK, bytes));
        }
        let Some(transfer) = self.transfers.try_begin(start) else {
            let providers = (self.source.providers)(subject);
            log::debug!(
                target: "peers",
                "event=busy subject={subject:?} providers={}", providers.len()
            );
            let body = postcard::to_allocvec(&providers)?;
            return Ok(Response::new(StatusCode::SERVICE_UNAVAILABLE, body.into()));
        };
        log::info!(
            target: "peers",
            "event=transfer contents={contents:?} bytes={} encode_us={}",
            bytes.len(), start.elapsed().as_micros()
        );
        Ok(stream_response(bytes, transfer))
    }

    fn encode(&self, contents: Contents, data: &impl Serialize) -> Result<Bytes, postcard::Error> {
        let mut encoded = self.encoded.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((_, bytes)) = encoded.iter().find(|(kept, _)| *kept == contents) {
            return Ok(bytes.clone());
        }
        let bytes = Bytes::from(postcard::to_allocvec(data)?);
        encoded.retain(|(kept, _)| kept.is_current(contents));
        if encoded.len() >= MAX_ENCODED {
            encoded.remove(0);
        }
        encoded.push((contents, bytes.clone()));
        Ok(bytes)
    }
}

impl Contents {
    /// Returns whether these contents are still of use once `newer` was encoded.
    fn is_current(self, newer: Self) -> bool {
        match (self, newer) {
            (Self::State { newest, .. }, Self::State { newest: other, .. }) => newest >= other,
            (Self::Targets { revision }, Self::Targets { revision: other }) => revision >= other,
            _ => true,
        }
    }
}

/// Returns a response whose parts are taken from `bytes` as the connection takes
/// them. The transfer ends with the connection.
fn stream_response(mut bytes: Bytes, transfer: Transfer) -> Response {
    let first = bytes.split_to(PART_BYTES.min(bytes.len()));
    let length = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
    let parts = stream::unfold((bytes, transfer), |(mut bytes, transfer)| async move {
        transfer.record_progress(Instant::now());
        if bytes.is_empty() {
            return None;
        }
        let part = bytes.split_to(PART_BYTES.min(bytes.len()));
        Some((Ok::<_, io::Error>(part), (bytes, transfer)))
    });
    let mut response = Response::new(StatusCode::OK, first);
    response.rest = Some(Rest {
        length: Some(length),
        parts: Box::pin(parts),
    });
    response
}

impl Service for Server {
    fn is_closing(&self) -> bool {
        true
    }

    fn send_buffer(&self) -> Option<usize> {
        Some(SEND_BUFFER_BYTES)
    }

    async fn call(self: Arc<Self>, request: Request) -> Response {
        let response = match parse(request.path()) {
            Some(Since::State(version)) => self.state(version),
            Some(Since::Targets(revision)) => self.targets(revision),
            None => return Response::new(StatusCode::BAD_REQUEST, Bytes::new()),
        };
        response.unwrap_or_else(|error| {
            log::error!(target: "peers", "event=encode-failed error=\"{error}\"");
            Response::new(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        })
    }
}

/// Data that a requester has already.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Since {
    State(Version),
    Targets(Option<StoreRevision>),
}

/// Parses a request path, `/state/<version>` or `/targets/<era>.<version>`.
fn parse(path: &str) -> Option<Since> {
    let (subject, since) = path.strip_prefix('/')?.split_once('/')?;
    match (subject, since) {
        ("state", version) => Some(Since::State(version.parse().ok()?)),
        ("targets", "") => Some(Since::Targets(None)),
        ("targets", revision) => Some(Since::Targets(Some(revision.parse().ok()?))),
        _ => None,
    }
}
