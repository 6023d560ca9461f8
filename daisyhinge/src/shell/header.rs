//! Names of the HTTP headers that callers, entries and backend servers use.

use hyper::HeaderMap;

/// The caller's request.
pub const REQUEST: &str = "daisyhinge-request";
/// One dispatch of one sub-request.
pub const ATTEMPT: &str = "daisyhinge-attempt";
/// Service asked.
pub const SERVICE: &str = "daisyhinge-service";
/// Replica asked.
pub const REPLICA: &str = "daisyhinge-replica";
/// Shard asked for.
pub const SHARD: &str = "daisyhinge-shard";
/// Snapshot asked for.
pub const SNAPSHOT: &str = "daisyhinge-snapshot";
/// Time until the caller's deadline, in microseconds.
pub const DEADLINE_US: &str = "daisyhinge-deadline-us";
/// Time until the work must have stopped, in microseconds.
pub const EXPIRES_US: &str = "daisyhinge-expires-us";
/// Whether the work may run more than once.
pub const REPEATABLE: &str = "daisyhinge-repeatable";
/// Length of the body in bytes.
pub const LENGTH: &str = "daisyhinge-length";
/// CRC-32 of the body, 8 hexadecimal digits.
pub const CHECKSUM: &str = "daisyhinge-checksum";
/// Incarnation of the backend server.
pub const INCARNATION: &str = "daisyhinge-incarnation";
/// Whether the backend server shed the work without running it.
pub const SHED: &str = "daisyhinge-shed";
/// When to try again, in milliseconds.
pub const RETRY_MS: &str = "daisyhinge-retry-ms";
/// Whether cancelled work has certainly stopped.
pub const CANCELLED: &str = "daisyhinge-cancelled";
/// Time that a caller allows, in milliseconds.
pub const DEADLINE_MS: &str = "daisyhinge-deadline-ms";
/// Smallest coverage of use to a caller, 0 to 1.
pub const MINIMUM_COVERAGE: &str = "daisyhinge-minimum-coverage";
/// What a caller prefers.
pub const PREFERENCE: &str = "daisyhinge-preference";
/// Time since a caller first sent the request, in milliseconds.
pub const AGE_MS: &str = "daisyhinge-age-ms";

/// Reads a header as a whole number.
pub fn parse_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
