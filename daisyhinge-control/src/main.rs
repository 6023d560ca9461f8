//! Control process of daisyhinge.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use clap::Parser;
use daisyhinge::setting::check_control_settings;
use daisyhinge::shell::control::ControlShell;
use daisyhinge::shell::log::open_log;
use daisyhinge::shell::operator::{ControlPorts, OperatorToken};
use daisyhinge::shell::setting::{EXIT_BAD_INPUT, print_errors, read_settings};
use daisyhinge::shell::timeline::EventLog;
use daisyhinge::vocabulary::setting::ControlSettings;
use tokio::signal::unix::{SignalKind, signal};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Control process of daisyhinge: stores configuration, membership and claims on this VM's disk.
#[derive(Debug, Parser)]
#[command(version)]
struct ControlArguments {
    /// Settings file (JSON).
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Check the settings, print every error and exit with 0 or 2.
    #[arg(long)]
    check: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = ControlArguments::parse();
    let settings = match read_settings(&arguments.settings, check_control_settings) {
        Ok(settings) => settings,
        Err(errors) => {
            print_errors(&arguments.settings, &errors);
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
    // Read before the data folder is opened: without a token the process cannot serve operators.
    let token = OperatorToken::read(&settings.token_file).map_err(|code| {
        let path = settings.token_file.display();
        format!(
            "code={} token_file={path}: the token must have 16 to 256 visible ASCII characters",
            code.number()
        )
    })?;
    let log = EventLog::open(settings.vm.clone(), settings.events_max);
    let event_log = log.clone();
    let event_sink = Arc::new(move |draft| {
        event_log.record(draft);
    });
    let shell =
        ControlShell::spawn(settings.clone(), event_sink).map_err(|error| error.to_string())?;
    let ports = ControlPorts::bind(&settings, token, &shell, log)
        .await
        .map_err(|code| {
            format!(
                "{} {code}: check operator_address and metrics_address",
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
        error = shell.failed() => return Err(error.to_string()),
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    ports.close().await;
    shell.stop().await;
    Ok(())
}
