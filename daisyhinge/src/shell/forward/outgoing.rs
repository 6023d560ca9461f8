//! A caller's request in the form in which it is sent to replicas.

use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Uri};

use crate::prelude::*;
use crate::vocabulary::site::RouteKind;

#[derive(Clone, Debug)]
pub(super) struct OutgoingRequest {
    /// Number of the request, unique in this process.
    pub number: u64,
    pub method: Method,
    pub target: Uri,
    /// Headers that are forwarded unchanged.
    pub headers: HeaderMap,
    pub body: Bytes,
    pub id: Option<HeaderValue>,
    pub kind: RouteKind,
    /// Maximum number of records of each part, if the route gathers.
    pub top_records: Option<usize>,
    pub deadline: MonotonicTime,
}
