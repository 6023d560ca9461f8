//! Encoding of request heads on links between entries.

use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Uri};

/// Maximum number of headers of one request.
const HEADERS_MAX: usize = 128;

/// A decoded request head.
#[derive(Debug)]
pub struct RelayHead {
    /// HTTP method of the caller's request.
    pub method: Method,
    /// Path and query of the caller's request.
    pub target: Uri,
    /// Headers for the replica, without the deadline, which is sent as the time left.
    pub headers: HeaderMap,
}

/// Encodes a head: the method, the target and then `name:value` of each header, one per line.
/// Header values cannot contain line breaks.
pub fn write_head(method: &Method, target: &Uri, headers: &HeaderMap) -> Bytes {
    let mut text = Vec::with_capacity(256);
    text.extend_from_slice(method.as_str().as_bytes());
    text.push(b'\n');
    text.extend_from_slice(target.to_string().as_bytes());
    for (name, value) in headers {
        text.push(b'\n');
        append_header(&mut text, name, value);
    }
    text.into()
}

/// Encodes headers as `name:value`, each with a line break after it.
pub fn write_headers(headers: &HeaderMap) -> Bytes {
    let mut text = Vec::with_capacity(256);
    for (name, value) in headers {
        append_header(&mut text, name, value);
        text.push(b'\n');
    }
    text.into()
}

fn append_header(text: &mut Vec<u8>, name: &HeaderName, value: &HeaderValue) {
    text.extend_from_slice(name.as_str().as_bytes());
    text.push(b':');
    text.extend_from_slice(value.as_bytes());
}

/// Decodes a head. Returns `None` if the text is malformed.
pub fn read_head(text: &[u8]) -> Option<RelayHead> {
    let mut lines = text.split(|byte| *byte == b'\n');
    let method = Method::from_bytes(lines.next()?).ok()?;
    let target = Uri::try_from(lines.next()?).ok()?;
    Some(RelayHead {
        method,
        target,
        headers: parse_lines(lines)?,
    })
}

/// Decodes what [`write_headers`] encoded. Returns `None` if the text is malformed.
pub fn read_headers(text: &[u8]) -> Option<HeaderMap> {
    let lines = text.split(|byte| *byte == b'\n');
    parse_lines(lines.filter(|line| !line.is_empty()))
}

fn parse_lines<'text>(lines: impl Iterator<Item = &'text [u8]>) -> Option<HeaderMap> {
    let mut headers = HeaderMap::new();
    for line in lines {
        let colon = line.iter().position(|byte| *byte == b':')?;
        let name = HeaderName::from_bytes(&line[..colon]).ok()?;
        let value = HeaderValue::from_bytes(&line[colon + 1..]).ok()?;
        if headers.len() == HEADERS_MAX {
            return None;
        }
        headers.append(name, value);
    }
    Some(headers)
}
