//! Mutated messages from other entries.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use carobdrift_test_support::fuzz;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};

use crate::fixture::{eventually, free_address, isolated_zone};

const SEED: u64 = 20_261_205;

/// Receives the datagrams that entries send to an address that may be an entry.
async fn record_datagrams(socket: &UdpSocket, count: usize) -> Vec<Vec<u8>> {
    let mut datagrams = Vec::new();
    let mut buffer = vec![0; 4096];
    while datagrams.len() < count {
        let (length, _) = socket.recv_from(&mut buffer).await.unwrap();
        datagrams.push(buffer[..length].to_vec());
    }
    datagrams
}

/// Guards against a datagram or a request for a snapshot that ends an entry, or
/// after which it no longer exchanges messages with the others.
#[tokio::test]
async fn mutated_messages_leave_entries_running() {
    let entries = isolated_zone(3);
    let hub = entries[0].address();
    let intruder_ip = free_address();
    let intruder = UdpSocket::bind(SocketAddr::new(intruder_ip, hub.port()))
        .await
        .unwrap();
    let ips: Vec<IpAddr> = entries.iter().map(|entry| entry.ip).collect();
    for entry in &entries {
        entry
            .peers
            .add_candidates([intruder.local_addr().unwrap().ip()]);
    }
    let mut samples = record_datagrams(&intruder, 3).await;
    for sample in samples.clone() {
        intruder.send_to(&sample, hub).await.unwrap();
    }
    // Digests are sent to an address that has sent a heartbeat.
    samples.extend(record_datagrams(&intruder, 9).await);

    for input in fuzz::inputs(SEED, &samples, 4000) {
        for entry in &entries {
            intruder.send_to(&input, entry.address()).await.unwrap();
        }
        if input.len().is_multiple_of(16) {
            tokio::task::yield_now().await;
        }
    }
    let requests = [
        b"GET /state/1 HTTP/1.1\r\n\r\n".to_vec(),
        b"GET /targets/ HTTP/1.1\r\n\r\n".to_vec(),
    ];
    for input in fuzz::inputs(SEED, &requests, 200) {
        let mut stream = TcpStream::connect(hub).await.unwrap();
        stream.write_all(&input).await.unwrap();
        let _ = stream.shutdown().await;
        let mut response = Vec::new();
        // A malformed request may end with a reset.
        let _ = stream.read_to_end(&mut response).await;
    }
    drop(intruder);
    tokio::time::sleep(Duration::from_secs(3)).await;

    eventually("the entries see each other", || {
        entries.iter().all(|entry| entry.sees_responsive(&ips))
    })
    .await;
    entries[0]
        .state
        .rate
        .store(321, std::sync::atomic::Ordering::SeqCst);
    eventually("a change reaches the others", || {
        entries[1..]
            .iter()
            .all(|entry| entry.rate_of(ips[0]) == Some(321))
    })
    .await;
}
