//! A minimal HTTP/1.1 client and the reading of messages, for stand-ins on loopback addresses.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Head and body of a message.
#[derive(Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Status of an answer; 0 if it has none.
    pub fn status(&self) -> u16 {
        let word = self.first.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message, whose body has a length. `None` if the connection ended before it.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            let header = (name.trim().to_owned(), value.trim().to_owned());
            message.headers.push(header);
        }
    }
    let length = message.header("content-length").unwrap_or("0");
    let length = length.parse().unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Sends one request on a new connection and reads its answer. `None` without a whole answer within
/// `limit`.
pub fn call(
    address: SocketAddr,
    head: &str,
    headers: &[(&str, String)],
    body: &str,
    limit: Duration,
) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut text = format!("{head} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        let length = body.len();
        text.push_str(&format!(
            "Content-Type: application/json\r\nContent-Length: {length}\r\n"
        ));
    }
    text.push_str("Connection: close\r\n\r\n");
    text.push_str(body);
    stream.write_all(text.as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream)).ok()?
}
