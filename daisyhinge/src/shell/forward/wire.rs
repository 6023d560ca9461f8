//! HTTP headers between callers, entries and replicas. Their names are set by the deployment.

use hyper::HeaderMap;
use hyper::header::{self, HeaderName, HeaderValue};

use crate::prelude::*;

/// Names of the HTTP headers, which differ between deployments.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifier of one attempt of the caller, echoed by replicas.
    pub request_id: HeaderName,
    /// Milliseconds for which the sender of the request will wait.
    pub deadline: HeaderName,
    /// Signature of a replica's answer.
    pub signature: HeaderName,
    /// Name of the replica that the request is intended for.
    pub expected_replica: HeaderName,
    /// Set by a replica that did not execute the request.
    pub not_run: HeaderName,
    /// Set to 1 by a replica that is leaving, in all its answers.
    pub leaving: HeaderName,
    /// Requests per second that the replica takes from all entries together.
    pub rate_limit: HeaderName,
    /// Signatures of the parts of a merged answer.
    pub part_signatures: HeaderName,
    /// Number of shards missing from a merged answer.
    pub missing_shards: HeaderName,
    /// Key of the customer, after the name of the scheme and a space.
    pub authorization: HeaderName,
    /// Scheme of keys in the header `authorization`.
    pub key_scheme: &'static str,
    /// Name of the customer, for replicas.
    pub customer: HeaderName,
}

/// Hop-by-hop headers.
const CONNECTION_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes hop-by-hop headers, including those listed in `Connection`.
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

/// Returns the value of a header as text.
pub fn header_text<'head>(headers: &'head HeaderMap, name: &HeaderName) -> Option<&'head str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Encodes a number as a header value.
pub fn encode_number(number: u64) -> HeaderValue {
    HeaderValue::from(number)
}

/// Encodes a result code as the JSON body of an answer.
pub fn encode_result_code(code: ResultCode) -> String {
    format!(
        "{{\"code\":{},\"name\":\"{}\",\"message\":\"{code}\"}}",
        code.number(),
        code.name()
    )
}
