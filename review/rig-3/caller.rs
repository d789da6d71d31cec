//! Caller that sends several requests on one connection.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use crate::http::Connection;

/// Request of a caller.
#[derive(Debug, Clone)]
pub struct Request {
    pub attempt: String,
    pub path: String,
    pub deadline_ms: u32,
}

impl Request {
    fn encode(&self) -> String {
        format!(
            "GET {} HTTP/1.1\r\nHost: desk.example\r\nX-Carobdrift-Attempt-Id: {}\r\n\
             X-Carobdrift-Deadline-Ms: {}\r\n\r\n",
            self.path, self.attempt, self.deadline_ms
        )
    }
}

/// Answer to a request: its status, or how the connection ended without one.
pub type Answer = Result<u16, String>;

/// Sends requests on one connection, one each `pace`, and reads their answers in order.
/// With `ahead` each is sent at its time, whether or not those before are answered;
/// otherwise not before the answer to the one before.
pub fn exchange(
    entry: SocketAddr,
    requests: &[Request],
    ahead: bool,
    pace: Duration,
) -> Vec<Answer> {
    let failed = |error: io::Error| vec![Err(error.to_string()); requests.len()];
    let stream = match TcpStream::connect_timeout(&entry, Duration::from_secs(5)) {
        Ok(stream) => stream,
        Err(error) => return failed(error),
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(15)));
    let mut sender = match stream.try_clone() {
        Ok(stream) => stream,
        Err(error) => return failed(error),
    };
    let mut connection = Connection::new(stream);
    let ahead_bytes: Vec<String> = requests.iter().map(Request::encode).collect();
    let writer = ahead.then(|| {
        let thread = thread::Builder::new().stack_size(64 * 1024);
        thread.spawn(move || {
            for bytes in ahead_bytes {
                if sender.write_all(bytes.as_bytes()).is_err() {
                    return;
                }
                thread::sleep(pace);
            }
        })
    });
    let mut answers: Vec<Answer> = Vec::new();
    for request in requests {
        let sent = if ahead {
            Ok(())
        } else {
            thread::sleep(pace);
            connection.write(request.encode().as_bytes())
        };
        let answer = match sent.and_then(|()| connection.read()) {
            Ok(Some(answer)) => Ok(answer.status()),
            Ok(None) => Err("closed".to_owned()),
            Err(error) => Err(error.to_string()),
        };
        let is_end = answer.is_err();
        answers.push(answer);
        if is_end {
            break;
        }
    }
    drop(connection);
    if let Some(Ok(writer)) = writer {
        let _ = writer.join();
    }
    let end = answers.last().cloned();
    while answers.len() < requests.len() {
        answers.push(end.clone().unwrap_or_else(|| Err("closed".to_owned())));
    }
    answers
}
