//! Names of headers between callers, this entry and replicas, which a deployment decides.

use hyper::HeaderMap;
use hyper::header::{self, HeaderName, HeaderValue};

use crate::prelude::*;

/// The headers' names.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The caller's identifier of one attempt of its own; replicas repeat it.
    pub request_id: HeaderName,
    /// Milliseconds that whoever sends the request will wait.
    pub deadline: HeaderName,
    /// Signature by which a replica marks its answer.
    pub signature: HeaderName,
    /// Name of the replica that a request is meant for.
    pub expected_replica: HeaderName,
    /// A replica's word that it did not run the request.
    pub not_run: HeaderName,
    /// Signatures of the parts of a merged answer.
    pub part_signatures: HeaderName,
    /// Count of the shards that a merged answer leaves out.
    pub missing_shards: HeaderName,
}

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes headers that concern one connection only, those that it names itself included.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
}

/// A header's value as text.
pub fn read_text<'head>(headers: &'head HeaderMap, name: &HeaderName) -> Option<&'head str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// A number as a header's value.
pub fn write_number(number: u64) -> HeaderValue {
    HeaderValue::from(number)
}

/// A code as the body of an answer of the entry's own.
pub fn write_code(code: ResultCode) -> String {
    format!(
        "{{\"code\":{},\"name\":\"{}\",\"message\":\"{code}\"}}",
        code.number(),
        code.name()
    )
}
