//! HTTP/1.1 message framing for pipelined servers and strict clients.
//!
//! The data path needs three things that general HTTP libraries do not expose:
//! whether any byte of a request was handed to the kernel, whether a connection
//! holds bytes that belong to no exchange, and pipelined requests that are
//! served concurrently and answered in order. [`listen`] serves connections
//! with a [`Service`]; [`Connection`] is a client connection that carries one
//! exchange at a time. Messages are fully buffered: bodies are read to their
//! end, within limits.

mod body;
mod client;
mod encode;
mod head;
mod message;
mod reader;
mod server;

pub use client::{Connection, ExchangeError, OpenError};
pub use encode::{encode_request, encode_response};
pub use message::{Request, Response};
pub use reader::{Limits, ReadError, Reader};
pub use server::{Service, listen, serve};
