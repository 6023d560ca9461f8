//! A blocking HTTP/1.1 client and the reading of messages, for clients, replicas and the operator.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Head and body of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Second word of the first line: the status of a response, the path of a request.
    pub fn word(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word().parse().unwrap_or(0)
    }
}

/// Reads one message. `None` if the connection ends or the time is over before it is complete.
pub fn read_message(stream: &mut TcpStream, until: Option<Instant>) -> Option<Message> {
    let mut bytes = Vec::new();
    let mut chunk = [0_u8; 4096];
    let mut read_more = |bytes: &mut Vec<u8>| -> Option<()> {
        if let Some(until) = until {
            let left = until.checked_duration_since(Instant::now())?;
            stream
                .set_read_timeout(Some(left.max(Duration::from_millis(1))))
                .ok()?;
        }
        let count = stream.read(&mut chunk).ok()?;
        bytes.extend_from_slice(&chunk[..count]);
        (count > 0).then_some(())
    };
    let head_end = loop {
        if let Some(at) = find(&bytes, b"\r\n\r\n") {
            break at + 4;
        }
        read_more(&mut bytes)?;
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let start = lines.next()?.to_owned();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
        .collect();
    let mut message = Message {
        start,
        headers,
        body: Vec::new(),
    };
    let mut rest = bytes.split_off(head_end);
    let length = message.header("content-length");
    if let Some(length) = length.and_then(|text| text.parse::<usize>().ok()) {
        while rest.len() < length {
            read_more(&mut rest)?;
        }
        rest.truncate(length);
        message.body = rest;
    } else if message.header("transfer-encoding").is_some() {
        while find(&rest, b"0\r\n\r\n").is_none() {
            read_more(&mut rest)?;
        }
        message.body = rest;
    }
    Some(message)
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

/// Writes a request on an open connection and reads the answer.
pub fn exchange(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    until: Instant,
) -> Option<Message> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(text.as_bytes()).ok()?;
    read_message(stream, Some(until))
}

/// Sends one request on a new connection, and closes it after the answer or the time limit.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<Message> {
    let until = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_nodelay(true).ok()?;
    let host = address.to_string();
    let mut all = Vec::new();
    if !headers.iter().any(|(name, _)| *name == "Host") {
        all.push(("Host", host.as_str()));
    }
    all.extend_from_slice(headers);
    exchange(&mut stream, method, path, &all, body, until)
}
