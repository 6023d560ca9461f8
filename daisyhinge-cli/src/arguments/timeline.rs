//! Arguments of `daisyhinge timeline`.

use std::net::SocketAddr;

use clap::Args;

/// Selection of processes and events.
///
/// Example, to find out why an answer was partial:
/// `daisyhinge timeline --processes 10.0.0.1:7002,10.0.0.2:7002 --request r-81`
#[derive(Args, Debug)]
pub struct TimelineQuery {
    /// Metrics addresses of the processes (entries and control VMs).
    #[arg(long, required = true, value_delimiter = ',', value_name = "ADDRESS")]
    pub processes: Vec<SocketAddr>,
    /// Show only events of this request.
    #[arg(long, value_name = "ID")]
    pub request: Option<String>,
    /// Show only events of this replica.
    #[arg(long, value_name = "NAME")]
    pub replica: Option<String>,
    /// Show only events of this data centre.
    #[arg(long, value_name = "NAME")]
    pub data_centre: Option<String>,
    /// Show only events of this kind, such as sub-hedged or lease-lost.
    #[arg(long, value_name = "KIND")]
    pub kind: Option<String>,
    /// Show only events at or after this time, in microseconds since the Unix epoch.
    #[arg(long, value_name = "MICROSECONDS")]
    pub since_us: Option<u64>,
    /// Show only events before this time, in microseconds since the Unix epoch.
    #[arg(long, value_name = "MICROSECONDS")]
    pub until_us: Option<u64>,
    /// Show only events of the last SECONDS seconds.
    #[arg(long, value_name = "SECONDS", conflicts_with = "since_us")]
    pub last_s: Option<u64>,
    /// Maximum number of events per process; the newest ones are shown.
    #[arg(long, default_value_t = 10_000, value_name = "COUNT")]
    pub limit: u32,
}
