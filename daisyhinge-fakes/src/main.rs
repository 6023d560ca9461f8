//! Command line of the fakes: a fake backend server, a TCP relay with fault injection, and the load
//! generator.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use daisyhinge::prelude::*;
use daisyhinge_fakes::compare::compare_results;
use daisyhinge_fakes::load::start::start_system;
use daisyhinge_fakes::load::{EntryPoint, LoadResult, LoadScenario, LoadTarget, SystemHandle, run};
use daisyhinge_fakes::pipe::{PipeSettings, TcpPipe};
use daisyhinge_fakes::report::write_report;
use daisyhinge_fakes::server::{FakeServer, FakeSettings};
use serde::de::DeserializeOwned;

/// Fake backend servers, link fault injection and the load generator.
#[derive(Debug, Parser)]
#[command(version)]
struct FakesArgs {
    #[command(subcommand)]
    command: FakesCommand,
}

#[derive(Debug, Subcommand)]
enum FakesCommand {
    /// Runs a fake backend server of one replica until SIGTERM or SIGINT.
    Server {
        /// Path of the settings file, in JSON.
        settings: PathBuf,
    },
    /// Relays TCP with a delay until SIGTERM or SIGINT; SIGUSR1 toggles a freeze of the link,
    /// SIGUSR2 toggles a disconnection.
    Pipe {
        /// Address to listen on.
        #[arg(long)]
        address: SocketAddr,
        /// Address to connect to.
        #[arg(long)]
        target: SocketAddr,
        /// One-way latency, in microseconds.
        #[arg(long, default_value_t = 0)]
        one_way_us: u64,
    },
    /// Runs a scenario and writes its result and report. If no entry addresses are given, control
    /// and entries are started inside this process.
    Load(LoadArgs),
    /// Writes the HTML report of a result.
    Report {
        /// Path of the result, in JSON.
        result: PathBuf,
        /// Path of the report to write.
        page: PathBuf,
    },
    /// Prints a comparison of two load results.
    Compare {
        /// Path of the first result, such as that of the baseline.
        first: PathBuf,
        /// Path of the second result.
        second: PathBuf,
    },
}

#[derive(Args, Debug)]
struct LoadArgs {
    /// Path of the scenario, in JSON.
    scenario: PathBuf,
    /// A running entry, as `VM,DATA-CENTRE,ADDRESS`; may be given several times.
    #[arg(long = "entry", value_parser = parse_entry)]
    entries: Vec<EntryPoint>,
    /// Runs the baseline: callers scatter to a uniformly random replica, without hedges or limits.
    #[arg(long, conflicts_with = "entries")]
    naive: bool,
    /// Seed that replaces the scenario's seed.
    #[arg(long)]
    seed: Option<u64>,
    /// Label of the result, such as the commit.
    #[arg(long, default_value = "")]
    label: String,
    /// Folder that the result and the report are written to.
    #[arg(long, default_value = "reports")]
    folder: PathBuf,
}

#[tokio::main]
async fn main() -> ExitCode {
    let outcome = match FakesArgs::parse().command {
        FakesCommand::Server { settings } => run_server(&settings).await,
        FakesCommand::Pipe {
            address,
            target,
            one_way_us,
        } => {
            run_pipe(PipeSettings {
                address,
                target,
                one_way_us,
            })
            .await
        }
        FakesCommand::Load(args) => run_load(args).await,
        FakesCommand::Report { result, page } => run_report(&result, &page),
        FakesCommand::Compare { first, second } => run_compare(&first, &second),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(code) => {
            eprintln!("event=failed code={} message=\"{code}\"", code.number());
            ExitCode::from(2)
        }
    }
}

async fn run_server(path: &Path) -> Result<(), ResultCode> {
    let server = FakeServer::spawn(read_file::<FakeSettings>(path)?).await?;
    println!(
        "event=listening address={} replica={}",
        server.address(),
        server.replica()
    );
    wait_for_signal().await
}

async fn run_pipe(settings: PipeSettings) -> Result<(), ResultCode> {
    use tokio::signal::unix::{SignalKind, signal};
    let pipe = TcpPipe::spawn(settings).await?;
    println!("event=listening address={}", pipe.address());
    let mut freeze =
        signal(SignalKind::user_defined1()).map_err(|_no_signal| ResultCode::StorageFailed)?;
    let mut disconnect =
        signal(SignalKind::user_defined2()).map_err(|_no_signal| ResultCode::StorageFailed)?;
    let (mut frozen, mut disconnected) = (false, false);
    let end = wait_for_signal();
    tokio::pin!(end);
    loop {
        tokio::select! {
            ended = &mut end => return ended,
            Some(()) = freeze.recv() => {
                frozen = !frozen;
                pipe.set_frozen(frozen);
            }
            Some(()) = disconnect.recv() => {
                disconnected = !disconnected;
                pipe.set_disconnected(disconnected);
            }
        }
    }
}

async fn run_load(args: LoadArgs) -> Result<(), ResultCode> {
    let mut scenario = LoadScenario::open(&args.scenario)?;
    scenario.seed = args.seed.unwrap_or(scenario.seed);
    let target = if args.naive {
        LoadTarget::Naive
    } else if args.entries.is_empty() {
        LoadTarget::System(start_system(&scenario).await?)
    } else {
        LoadTarget::System(SystemHandle::from_entries(args.entries))
    };
    let mut result = run(&scenario, target).await?;
    result.label = args.label;
    std::fs::create_dir_all(&args.folder).map_err(|_unwritable| ResultCode::StorageFailed)?;
    let name = format!("{}-{}-{}", result.scenario, result.system, result.seed);
    let text = serde_json::to_string(&result).map_err(|_not_json| ResultCode::NotJson)?;
    std::fs::write(args.folder.join(format!("{name}.json")), text)
        .map_err(|_unwritable| ResultCode::StorageFailed)?;
    write_report(&result, &args.folder.join(format!("{name}.html")))?;
    print_result(&result);
    Ok(())
}

fn print_result(result: &LoadResult) {
    for service in &result.services {
        println!(
            "service={} offered={} whole={} partial={} refused={} lost={} late={} p50_ms={:.1} \
             p99_ms={:.1} p999_ms={:.1} extra_percent={:.2} resends={} doubled={} violations={}",
            service.service,
            service.offered,
            service.whole,
            service.answered - service.whole,
            service.count_refused(),
            service.lost,
            service.late,
            service.latency.p50_us as f64 / 1_000.0,
            service.latency.p99_us as f64 / 1_000.0,
            service.latency.p999_us as f64 / 1_000.0,
            service.extra_percent(),
            service.resends,
            service.doubled,
            service.count_violations(),
        );
        if service.count_refused() > 0 {
            println!(
                "  refused={:?} run={:?} within_5ms={} refusal_p99_ms={:.1}",
                service.refused,
                service.refused_run,
                service.refused_within_5ms,
                service.refusal_latency.p99_us as f64 / 1_000.0,
            );
        }
    }
    let servers = &result.servers;
    println!(
        "servers={} over_slots={} over_connections={} collapses={} after_sign={} crashes={} \
         marked_servers_max={} tool_late_ms={}",
        servers.len(),
        servers
            .iter()
            .map(|server| server.slots_exceeded)
            .sum::<u64>(),
        servers
            .iter()
            .map(|server| server.connections_exceeded)
            .sum::<u64>(),
        servers.iter().map(|server| server.collapses).sum::<u64>(),
        servers
            .iter()
            .map(|server| server.collapses_after_sign)
            .sum::<u64>(),
        servers.iter().map(|server| server.crashes).sum::<u64>(),
        result.marked_servers_max,
        result.tool_late_us / 1_000,
    );
    let mut kinds = BTreeMap::<&str, u32>::new();
    for event in &result.events {
        let kind = event.split('"').nth(3).unwrap_or("unknown");
        *kinds.entry(kind).or_default() += 1;
    }
    println!("events={kinds:?}");
    for record in &result.faults {
        println!(
            "fault at_ms={} done_ms={} code={} {} {}",
            record.at_ms, record.done_ms, record.code, record.fault, record.remark
        );
    }
}

fn run_report(result: &Path, page: &Path) -> Result<(), ResultCode> {
    write_report(&read_file::<LoadResult>(result)?, page)
}

fn run_compare(first: &Path, second: &Path) -> Result<(), ResultCode> {
    let (first, second) = (
        read_file::<LoadResult>(first)?,
        read_file::<LoadResult>(second)?,
    );
    print!("{}", compare_results(&first, &second));
    Ok(())
}

fn read_file<T: DeserializeOwned>(path: &Path) -> Result<T, ResultCode> {
    let text = std::fs::read_to_string(path).map_err(|_unreadable| ResultCode::StorageFailed)?;
    serde_json::from_str(&text).map_err(|error| {
        eprintln!("event=bad-file path={} error=\"{error}\"", path.display());
        ResultCode::NotJson
    })
}

fn parse_entry(text: &str) -> Result<EntryPoint, String> {
    let mut parts = text.split(',');
    let (Some(vm), Some(centre), Some(address), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(String::from("expected VM,DATA-CENTRE,ADDRESS"));
    };
    let address = address
        .parse()
        .map_err(|error| format!("{address}: {error}"))?;
    Ok(EntryPoint {
        vm: VmName::from(vm),
        data_centre: CentreName::from(centre),
        address,
    })
}

async fn wait_for_signal() -> Result<(), ResultCode> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate =
        signal(SignalKind::terminate()).map_err(|_no_signal| ResultCode::StorageFailed)?;
    tokio::select! {
        _signal = terminate.recv() => Ok(()),
        waited = tokio::signal::ctrl_c() => waited.map_err(|_no_signal| ResultCode::StorageFailed),
    }
}
