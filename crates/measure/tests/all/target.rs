//! Target that counts the probes that reach it.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Response;
use http_body_util::Empty;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Mode in which the target handles probes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Answers at once.
    Answer,
    /// Answers after the given time.
    Hold(Duration),
    /// Processes nothing; requests remain in the socket buffers.
    Stop,
}

pub(crate) struct Target {
    pub(crate) address: SocketAddr,
    mode: watch::Sender<Mode>,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl Target {
    pub(crate) async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let mode = watch::Sender::new(Mode::Answer);
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        tokio::spawn(serve(listener, mode.subscribe(), Arc::clone(&arrivals)));
        Self {
            address,
            mode,
            arrivals,
        }
    }

    pub(crate) fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    pub(crate) fn arrivals(&self) -> Vec<Instant> {
        self.arrivals.lock().unwrap().clone()
    }

    /// Returns the largest number of probes that arrived in any window of one
    /// second.
    pub(crate) fn most_in_one_second(&self) -> usize {
        let arrivals = self.arrivals();
        let second = Duration::from_secs(1);
        let count = |(index, first): (usize, &Instant)| {
            let window = arrivals[index..].iter();
            window.take_while(|at| **at - *first < second).count()
        };
        arrivals.iter().enumerate().map(count).max().unwrap_or(0)
    }
}

async fn serve(
    listener: TcpListener,
    mut mode: watch::Receiver<Mode>,
    arrivals: Arc<Mutex<Vec<Instant>>>,
) {
    loop {
        if mode.wait_for(|mode| *mode != Mode::Stop).await.is_err() {
            return;
        }
        let (stream, _) = tokio::select! {
            accepted = listener.accept() => accepted.unwrap(),
            _ = mode.changed() => continue,
        };
        let mode = mode.clone();
        let arrivals = Arc::clone(&arrivals);
        tokio::spawn(async move {
            let service = service_fn(|_| {
                arrivals.lock().unwrap().push(Instant::now());
                let mode = *mode.borrow();
                async move {
                    if let Mode::Hold(time) = mode {
                        tokio::time::sleep(time).await;
                    }
                    Ok::<_, Infallible>(Response::new(Empty::<Bytes>::new()))
                }
            });
            // A prober that times out closes its connection.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
