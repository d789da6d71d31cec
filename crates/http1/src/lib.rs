//! HTTP/1.1 message framing for pipelined servers and strict clients.
//!
//! The data path needs three things that general HTTP libraries do not expose:
//! whether any byte of a request was handed to the kernel, whether a connection
//! holds bytes that belong to no exchange, and pipelined requests that are
//! served concurrently and answered in order. [`listen`] serves connections
//! with a [`Service`]; [`Connection`] is a client connection that carries one
//! exchange at a time. Requests are fully buffered, within limits and within the
//! [`Budget`] of the server. The body of a
//! response can be passed on while it arrives: its receiver's pace then
//! determines how fast it is read.

mod body;
mod budget;
mod check;
mod client;
mod drain;
mod encode;
mod head;
mod lines;
mod message;
mod output;
mod reader;
mod refusal;
mod response;
mod segments;
mod server;
mod service;

pub use budget::{Budget, Capacity};
pub use check::ResponseCheck;
pub use client::{Connection, ExchangeError, OpenError};
pub use drain::Drain;
pub use encode::{encode_request, encode_request_parts};
pub use message::{Request, Response, Rest};
pub use reader::{Limits, ReadError, Reader};
pub use segments::{Body, Outgoing};
pub use server::{listen, serve};
pub use service::Service;
