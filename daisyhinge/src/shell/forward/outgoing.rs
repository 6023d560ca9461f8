//! A caller's request in the form in which it is sent to replicas.

use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Uri};

use super::access::RequestAccess;
use crate::prelude::*;
use crate::vocabulary::site::RouteKind;

/// A request as its attempts send it.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// Number of the request, unique in this process.
    pub number: u64,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// Headers that are forwarded unchanged.
    pub headers: HeaderMap,
    /// The caller's complete body.
    pub body: Bytes,
    /// Identifier that the caller gave its attempt.
    pub id: Option<HeaderValue>,
    /// Whether the request may run more than once.
    pub kind: RouteKind,
    /// Maximum number of records of each part, if the route gathers.
    pub top_records: Option<usize>,
    /// Time after which no attempt may run.
    pub deadline: MonotonicTime,
    /// Customer that the request was identified with; unset for a request without a customer, and for
    /// one that another entry has checked.
    pub access: Option<RequestAccess>,
}
