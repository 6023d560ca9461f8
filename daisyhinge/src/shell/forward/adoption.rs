//! Where the state of an entry came from, and what it changed, for log lines.

use std::fmt;
use std::net::SocketAddr;

use crate::vocabulary::text_digest::TextDigest;

/// The control process that sent a state, and how recent its confirmation was.
#[derive(Clone, Copy, Debug)]
pub(super) struct StateOrigin {
    pub address: Option<SocketAddr>,
    pub confirmed: bool,
    pub quorum_age_ms: Option<u64>,
}

impl fmt::Display for StateOrigin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.address {
            Some(address) => write!(f, "address={address}")?,
            None => write!(f, "address=-")?,
        }
        write!(f, " confirmed={}", self.confirmed)?;
        match self.quorum_age_ms {
            Some(age) => write!(f, " quorum_age_ms={age}"),
            None => write!(f, " quorum_age_ms=-"),
        }
    }
}

/// Revision and version that were in force before a state.
#[derive(Clone, Copy, Debug)]
pub(super) struct FormerSite {
    pub revision: u64,
    pub version: u64,
}

/// The configuration that is in force after a state.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SiteSummary {
    pub version: u64,
    pub route_count: usize,
    /// Number of customers; `None` if requests are not authenticated.
    pub customer_count: Option<usize>,
    pub text: TextDigest,
}

/// Describes what was in force before a state and what is after it, and where the state came from.
pub(super) fn describe_adoption(
    former: FormerSite,
    in_force: &SiteSummary,
    origin: &StateOrigin,
) -> String {
    let customers = in_force.customer_count;
    let customers = customers.map_or_else(|| "-".to_owned(), |count| count.to_string());
    format!(
        "former_revision={} former_version={} in_force={} routes={} customers={customers} {} {origin}",
        former.revision, former.version, in_force.version, in_force.route_count, in_force.text
    )
}
