//! WebSocket connections that carry frames.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use carobdrift_units::{Instance, Secret};
use carobdrift_wire::{Frame, MAX_FRAME_BYTES, decode, encode};
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use http::header::AUTHORIZATION;
use http::{HeaderValue, StatusCode};
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::client::IntoClientRequest;
use tokio_tungstenite::tungstenite::handshake::server::{ErrorResponse, Request, Response};
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{self, Message};

use crate::error::LinkError;
use crate::settings::is_authorized;

/// Timeout for opening a connection, the WebSocket upgrade and the exchange of
/// `Hello` and `Welcome`.
pub(crate) const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);

/// Header field with the id of the dialling instance, so that logs and network
/// traces show which instance a refused handshake came from.
const INSTANCE_HEADER: &str = "carobdrift-instance";

/// Size of the buffer of each direction of a connection, in bytes. The default of
/// tungstenite, 128 KiB, would need 10 MiB in a cell of 20 entries.
const BUFFER_BYTES: usize = 16 * 1024;

pub(crate) type Socket = WebSocketStream<TcpStream>;
pub(crate) type Sink = SplitSink<Socket, Message>;
pub(crate) type Stream = SplitStream<Socket>;

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

/// Opens a connection to the peer listener at `address` and upgrades it.
pub(crate) async fn connect(
    address: SocketAddr,
    instance: &Instance,
    authorization: HeaderValue,
) -> Result<Socket, LinkError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(LinkError::Connect)?;
    stream.set_nodelay(true).map_err(LinkError::Connect)?;
    let mut request = format!("ws://{address}/").into_client_request()?;
    request.headers_mut().insert(AUTHORIZATION, authorization);
    if let Ok(value) = HeaderValue::from_str(instance.as_str()) {
        request.headers_mut().insert(INSTANCE_HEADER, value);
    }
    let (socket, _) =
        tokio_tungstenite::client_async_with_config(request, stream, Some(config())).await?;
    Ok(socket)
}

/// Upgrades an accepted connection whose request contains the secret.
pub(crate) async fn accept(stream: TcpStream, secret: &Secret) -> Result<Socket, LinkError> {
    stream.set_nodelay(true).map_err(LinkError::Connect)?;
    #[expect(
        clippy::result_large_err,
        reason = "the library prescribes the type of the callback"
    )]
    let authorize = |request: &Request, response: Response| -> Result<Response, ErrorResponse> {
        let authorization = request.headers().get(AUTHORIZATION);
        if authorization.is_some_and(|value| is_authorized(secret, value.as_bytes())) {
            return Ok(response);
        }
        let instance = request.headers().get(INSTANCE_HEADER);
        log::warn!(target: "links", "refused a connection without the peer secret, claimed instance id {instance:?}");
        let mut refusal = ErrorResponse::new(None);
        *refusal.status_mut() = StatusCode::UNAUTHORIZED;
        Err(refusal)
    };
    let socket =
        tokio_tungstenite::accept_hdr_async_with_config(stream, authorize, Some(config())).await?;
    Ok(socket)
}

/// Writes one frame and returns its size in bytes.
pub(crate) async fn send_frame(sink: &mut Sink, frame: &Frame) -> Result<usize, LinkError> {
    send_bytes(sink, encode(frame)?.into()).await
}

/// Writes one encoded frame and returns its size in bytes.
pub(crate) async fn send_bytes(sink: &mut Sink, bytes: Bytes) -> Result<usize, LinkError> {
    let size = bytes.len();
    sink.send(Message::Binary(bytes)).await?;
    Ok(size)
}

/// Reads one frame and returns it with its size in bytes.
pub(crate) async fn receive(stream: &mut Stream) -> Result<(Frame, usize), LinkError> {
    loop {
        match stream.next().await {
            Some(Ok(Message::Binary(bytes))) => return Ok((decode(&bytes)?, bytes.len())),
            // tungstenite answers control frames itself.
            Some(Ok(Message::Ping(_) | Message::Pong(_))) => {}
            Some(Ok(Message::Text(_) | Message::Frame(_))) => return Err(LinkError::Unexpected),
            Some(Ok(Message::Close(_)) | Err(tungstenite::Error::ConnectionClosed)) | None => {
                return Err(LinkError::Closed);
            }
            Some(Err(error)) => return Err(error.into()),
        }
    }
}
