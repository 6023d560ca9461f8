//! Names of the HTTP headers that callers, entries and backend servers use.

use hyper::HeaderMap;

/// Id of the caller's request.
pub const REQUEST: &str = "daisyhinge-request";
/// Id of the attempt: one dispatch of one sub-request.
pub const ATTEMPT: &str = "daisyhinge-attempt";
/// Requested service.
pub const SERVICE: &str = "daisyhinge-service";
/// Replica to which the sub-request is sent.
pub const REPLICA: &str = "daisyhinge-replica";
/// Requested shard.
pub const SHARD: &str = "daisyhinge-shard";
/// Requested snapshot.
pub const SNAPSHOT: &str = "daisyhinge-snapshot";
/// Time until the caller's deadline, in microseconds.
pub const DEADLINE_US: &str = "daisyhinge-deadline-us";
/// Time until the work must be stopped, in microseconds.
pub const EXPIRES_US: &str = "daisyhinge-expires-us";
/// Whether the request may be executed more than once.
pub const REPEATABLE: &str = "daisyhinge-repeatable";
/// Length of the body in bytes.
pub const LENGTH: &str = "daisyhinge-length";
/// CRC-32 of the body, as 8 hexadecimal digits.
pub const CHECKSUM: &str = "daisyhinge-checksum";
/// Incarnation of the backend server.
pub const INCARNATION: &str = "daisyhinge-incarnation";
/// Whether the backend server shed the request without executing it.
pub const SHED: &str = "daisyhinge-shed";
/// Milliseconds until the sender may retry.
pub const RETRY_MS: &str = "daisyhinge-retry-ms";
/// Whether cancelled work is confirmed to have stopped.
pub const CANCELLED: &str = "daisyhinge-cancelled";
/// Caller's timeout for the request, in milliseconds.
pub const DEADLINE_MS: &str = "daisyhinge-deadline-ms";
/// Minimum coverage that the caller accepts, 0 to 1.
pub const MINIMUM_COVERAGE: &str = "daisyhinge-minimum-coverage";
/// Caller's preference between coverage and latency.
pub const PREFERENCE: &str = "daisyhinge-preference";
/// Time since the caller first sent the request, in milliseconds.
pub const AGE_MS: &str = "daisyhinge-age-ms";

/// Parses a header as an unsigned integer; `None` if it is missing or invalid.
pub fn parse_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Whether a status ends an exchange. HTTP has no status above 599, and those below 200 announce another
/// one or another protocol, for which nobody has asked.
pub fn is_final_status(status: u16) -> bool {
    (200..600).contains(&status)
}
