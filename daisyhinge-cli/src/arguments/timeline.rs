//! Arguments of `daisyhinge timeline`.

use std::net::SocketAddr;

use clap::Args;

/// Which events to show, and of which processes.
///
/// Example: why was an answer partial?
/// `daisyhinge timeline --processes 10.0.0.1:7002,10.0.0.2:7002 --request r-81`
#[derive(Args, Debug)]
pub struct TimelineQuery {
    /// Metrics addresses of the processes, entries and control VMs alike.
    #[arg(long, required = true, value_delimiter = ',', value_name = "ADDRESS")]
    pub processes: Vec<SocketAddr>,
    /// Only events of this request.
    #[arg(long, value_name = "ID")]
    pub request: Option<String>,
    /// Only events of this replica.
    #[arg(long, value_name = "NAME")]
    pub replica: Option<String>,
    /// Only events of this data centre.
    #[arg(long, value_name = "NAME")]
    pub data_centre: Option<String>,
    /// Only events of this kind, such as sub-hedged or lease-lost.
    #[arg(long, value_name = "KIND")]
    pub kind: Option<String>,
    /// Only events at or after this time, in microseconds since 1970.
    #[arg(long, value_name = "MICROSECONDS")]
    pub since_us: Option<u64>,
    /// Only events before this time, in microseconds since 1970.
    #[arg(long, value_name = "MICROSECONDS")]
    pub until_us: Option<u64>,
    /// Only events of the last so many seconds.
    #[arg(long, value_name = "SECONDS", conflicts_with = "since_us")]
    pub last_s: Option<u64>,
    /// Events of each process at most, the newest ones.
    #[arg(long, default_value_t = 10_000, value_name = "COUNT")]
    pub limit: u32,
}
