//! Decision on what a complete, well-formed response is. All readers of responses
//! use it; `docs/design/responses.md` lists the cases.

use std::io;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, StatusCode};

use crate::body::{Decoder, Framing};
use crate::head;
use crate::lines;
use crate::message::Response;
use crate::reader::{Limits, ReadError};

/// Largest number of informational responses before a final one.
const MAX_INFORMATIONAL_RESPONSES: usize = 16;

/// Largest status code that is defined as one.
const MAX_STATUS: u16 = 599;

/// Decoder of the responses on one connection.
#[derive(Debug)]
pub(crate) struct ResponseDecoder {
    limits: Limits,
    incoming: Option<Incoming>,
    /// Informational responses since the last final one.
    informational: usize,
}

/// Response that is being read.
#[derive(Debug)]
struct Incoming {
    /// Head, until it is returned with the first part of the body.
    head: Option<ResponseHead>,
    body: Decoder,
}

/// Head of a response.
#[derive(Debug)]
struct ResponseHead {
    status: StatusCode,
    headers: HeaderMap,
    framing: Framing,
    keep_alive: bool,
    idle_timeout: Option<Duration>,
}

impl ResponseDecoder {
    pub(crate) fn new(limits: Limits) -> Self {
        Self {
            limits,
            incoming: None,
            informational: 0,
        }
    }

    /// Replaces the limits. The new limits apply to responses whose head has not been
    /// read yet.
    pub(crate) fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Returns whether the head of a response was read, but not its whole body.
    pub(crate) fn is_within_response(&self) -> bool {
        self.incoming.is_some()
    }

    /// Returns the number of bytes of the body that are missing, if the response states
    /// its length.
    pub(crate) fn remaining(&self) -> Option<u64> {
        self.incoming.as_ref()?.body.remaining()
    }

    /// Decodes the final response to a request with the given method as far as it was
    /// received; informational responses are skipped. Returns whether it is complete.
    pub(crate) fn decode(
        &mut self,
        buffer: &mut BytesMut,
        method: &Method,
    ) -> Result<bool, ReadError> {
        while self.incoming.is_none() {
            let Some((length, head)) = parse(buffer, method)? else {
                return if buffer.len() > self.limits.head {
                    Err(ReadError::HeadTooLarge)
                } else {
                    Ok(false)
                };
            };
            if length > self.limits.head {
                return Err(ReadError::HeadTooLarge);
            }
            let _ = buffer.split_to(length);
            if head.status.is_informational() {
                self.informational += 1;
                if self.informational > MAX_INFORMATIONAL_RESPONSES {
                    return Err(ReadError::Malformed("sequence of informational responses"));
                }
                continue;
            }
            self.informational = 0;
            let body = Decoder::new(head.framing, self.limits.body)?;
            let head = Some(head);
            self.incoming = Some(Incoming { head, body });
        }
        match &mut self.incoming {
            Some(incoming) => incoming.body.decode(buffer),
            None => Ok(false),
        }
    }

    /// Takes the head of the response and what is there of its body, if the response
    /// is complete or `window` bytes of the body were read.
    pub(crate) fn take(&mut self, complete: bool, window: usize) -> Option<Response> {
        let incoming = self.incoming.as_mut()?;
        if !complete && incoming.body.collected() < window {
            return None;
        }
        let head = incoming.head.take()?;
        let body = incoming.body.take();
        if complete {
            self.incoming = None;
        }
        Some(Response {
            status: head.status,
            headers: head.headers,
            body,
            rest: None,
            keep_alive: head.keep_alive,
            idle_timeout: head.idle_timeout,
        })
    }

    /// Decodes the next part of the body; returns whether the body is complete with it.
    pub(crate) fn decode_part(
        &mut self,
        buffer: &mut BytesMut,
    ) -> Result<(Bytes, bool), ReadError> {
        let Some(incoming) = &mut self.incoming else {
            return Ok((Bytes::new(), true));
        };
        let complete = incoming.body.decode(buffer)?;
        let part = incoming.body.take();
        if complete {
            self.incoming = None;
        }
        Ok((part, complete))
    }

    /// Ends a response that [`check_end`](Self::check_end) accepted.
    pub(crate) fn end(&mut self) {
        self.incoming = None;
    }

    /// Decides on the response once no more bytes arrive. It is complete if its body
    /// ends with the connection and the connection did not fail in either direction.
    /// A failed write takes the error of a reset from the socket, and the read after
    /// it sees a normal end.
    pub(crate) fn check_end(&self, failure: Option<io::ErrorKind>) -> Result<(), ReadError> {
        match (failure, &self.incoming) {
            (Some(failure), _) => Err(ReadError::Io(failure.into())),
            (None, Some(incoming)) if incoming.body.ends_with_connection() => Ok(()),
            (None, _) => Err(ReadError::Truncated),
        }
    }
}

/// Parses the head of a response to a request with the given method; returns the length
/// of the head in bytes and the head, or `None` while the head is incomplete.
fn parse(bytes: &[u8], method: &Method) -> Result<Option<(usize, ResponseHead)>, ReadError> {
    let mut fields = [httparse::EMPTY_HEADER; head::MAX_HEADER_FIELDS];
    let mut response = httparse::Response::new(&mut fields);
    let length = match response.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(ReadError::HeadTooLarge),
        Err(_) => return Err(ReadError::Malformed("head")),
    };
    // The parser skips empty lines before the head.
    let head_bytes = bytes.get(..length).unwrap_or_default();
    if !head_bytes.starts_with(b"HTTP/") || !lines::has_only_line_ends(head_bytes) {
        return Err(ReadError::Malformed("line end"));
    }
    let status = status(response.code.unwrap_or_default())?;
    let http11 = response.version == Some(1);
    let mut headers = head::header_map(response.headers)?;
    // Also a response without a body must not state contradictory lengths.
    let stated = head::framing_of(&headers)?;
    if stated == Some(Framing::Chunked) && !http11 {
        return Err(ReadError::Malformed("body framing"));
    }
    let bodiless = *method == Method::HEAD
        || status.is_informational()
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    let framing = if bodiless {
        Framing::Length(0)
    } else {
        stated.unwrap_or(Framing::Close)
    };
    let keep_alive = head::keeps_alive(&headers, http11) && framing != Framing::Close;
    let idle_timeout = head::idle_timeout(&headers);
    head::remove_hop_by_hop(&mut headers);
    let head = ResponseHead {
        status,
        headers,
        framing,
        keep_alive,
        idle_timeout,
    };
    Ok(Some((length, head)))
}

/// Returns the status with a code. No request asks for another protocol, so a response
/// that switches to one is not valid.
fn status(code: u16) -> Result<StatusCode, ReadError> {
    let status = StatusCode::from_u16(code).map_err(|_| ReadError::Malformed("status"))?;
    if code > MAX_STATUS || status == StatusCode::SWITCHING_PROTOCOLS {
        return Err(ReadError::Malformed("status"));
    }
    Ok(status)
}
