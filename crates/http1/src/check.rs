//! Check of responses that another reader decodes.

use bytes::BytesMut;
use http::Method;

use crate::reader::{Limits, ReadError};
use crate::response::ResponseDecoder;

/// Check of the responses on one connection that another reader decodes, by the rules
/// of [`Connection`](crate::Connection). The other reader must not get the bytes that
/// an error was returned for.
#[derive(Debug)]
pub struct ResponseCheck {
    decoder: ResponseDecoder,
    buffer: BytesMut,
    /// Method of the request whose response is not complete yet.
    method: Option<Method>,
    /// Whether bytes arrived that belong to no response.
    surplus: bool,
}

impl ResponseCheck {
    /// Creates a check of the responses on a new connection, whose heads have at most
    /// `max_head` bytes.
    #[must_use]
    pub fn new(max_head: usize) -> Self {
        let limits = Limits {
            head: max_head,
            body: u64::MAX,
        };
        Self {
            decoder: ResponseDecoder::new(limits),
            buffer: BytesMut::new(),
            method: None,
            surplus: false,
        }
    }

    /// Begins an exchange: the next bytes are the response to a request with this
    /// method.
    pub fn begin(&mut self, method: Method) {
        self.method = Some(method);
    }

    /// Returns whether bytes arrived that belong to no response, after which the
    /// connection must not be reused.
    #[must_use]
    pub fn has_surplus(&self) -> bool {
        self.surplus
    }

    /// Checks received bytes.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not part of a valid response to the request in progress.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<(), ReadError> {
        if bytes.is_empty() {
            return Ok(());
        }
        let Some(method) = &self.method else {
            self.surplus = true;
            return Err(ReadError::Malformed("data between responses"));
        };
        self.buffer.extend_from_slice(bytes);
        let complete = if self.decoder.is_within_response() {
            self.decoder.decode_part(&mut self.buffer)?.1
        } else {
            let complete = self.decoder.decode(&mut self.buffer, method)?;
            let _ = self.decoder.take(complete, 0);
            complete
        };
        if complete {
            self.method = None;
            self.surplus = !self.buffer.is_empty();
            self.buffer.clear();
        }
        Ok(())
    }
}
