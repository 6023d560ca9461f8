//! A caller's request on its way to replicas.

use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Uri};

use crate::prelude::*;
use crate::vocabulary::site::RouteKind;

/// A caller's request as it is sent on.
#[derive(Clone, Debug)]
pub(super) struct OutgoingRequest {
    /// Names the request in this process.
    pub number: u64,
    pub method: Method,
    pub target: Uri,
    /// Headers that are sent on unchanged.
    pub headers: HeaderMap,
    pub body: Bytes,
    pub id: Option<HeaderValue>,
    pub kind: RouteKind,
    /// Records that are wanted of each part, if the route gathers.
    pub top_records: Option<usize>,
    pub ends: MonotonicTime,
}
