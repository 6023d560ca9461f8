//! The control process of daisyhinge.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use clap::Parser;
use daisyhinge::setting::check_control_settings;
use daisyhinge::shell::control::ControlShell;
use daisyhinge::shell::log::open_log;
use daisyhinge::shell::operator::{ControlPorts, OperatorToken};
use daisyhinge::shell::setting::{EXIT_BAD_INPUT, print_faults, read_settings};
use daisyhinge::shell::timeline::EventLog;
use daisyhinge::vocabulary::setting::ControlSettings;
use tokio::signal::unix::{SignalKind, signal};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Keeps configuration, membership and claims of daisyhinge on this VM's disk.
#[derive(Debug, Parser)]
#[command(version)]
struct ControlArguments {
    /// Settings file (JSON).
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Check the settings, print every fault and exit with 0 or 2.
    #[arg(long)]
    check: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = ControlArguments::parse();
    let settings = match read_settings(&arguments.settings, check_control_settings) {
        Ok(settings) => settings,
        Err(faults) => {
            print_faults(&arguments.settings, &faults);
            return ExitCode::from(EXIT_BAD_INPUT);
        }
    };
    if arguments.check {
        return ExitCode::SUCCESS;
    }
    match run(settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("event=failed {text}");
            ExitCode::FAILURE
        }
    }
}

async fn run(settings: ControlSettings) -> Result<(), String> {
    open_log().map_err(|code| code.to_string())?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|error| error.to_string())?;
    // Before the data folder is opened: a process without a token is of no use to the group.
    let token = OperatorToken::read(&settings.token_file).map_err(|code| {
        let path = settings.token_file.display();
        format!(
            "code={} token_file={path}: 16 to 256 visible characters",
            code.number()
        )
    })?;
    let log = EventLog::open(settings.vm.clone(), settings.events_max);
    let sink = log.clone();
    let note = Arc::new(move |draft| {
        sink.record(draft);
    });
    let shell = ControlShell::spawn(settings.clone(), note).map_err(|fault| fault.to_string())?;
    let ports = ControlPorts::bind(&settings, token, &shell, log)
        .await
        .map_err(|code| {
            format!(
                "{} {code}: operator_address or metrics_address",
                code.number()
            )
        })?;
    println!(
        "event=started vm={} address={} operator_address={} metrics_address={}",
        shell.id().vm,
        shell.address(),
        ports.operator.address(),
        ports.metric.address(),
    );
    tokio::select! {
        fault = shell.failed() => return Err(fault.to_string()),
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    ports.close().await;
    shell.stop().await;
    Ok(())
}
