//! Child processes for tests: starts programs of the workspace and kills them with the test.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc;
use std::time::Duration;

use daisyhinge::prelude::*;

/// Timeout for a program to print its `event=listening` or `event=started` line.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// A running program, killed on drop.
#[derive(Debug)]
pub struct TestProcess {
    child: Child,
    line: String,
}

/// Path of another program of the workspace, which `cargo test --workspace` builds next to
/// `sibling`.
pub fn find_program(sibling: &str, name: &str) -> PathBuf {
    Path::new(sibling).with_file_name(name)
}

impl TestProcess {
    /// Starts `program` and waits until it prints a line that begins with `event=listening` or
    /// `event=started`.
    ///
    /// # Errors
    ///
    /// [`ResultCode::BindFailed`] if the program cannot be started or prints no such line in time.
    pub fn spawn(program: &Path, arguments: &[&str]) -> Result<Self, ResultCode> {
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|_error| ResultCode::BindFailed)?;
        let output = child.stdout.take().ok_or(ResultCode::BindFailed)?;
        let (sender, receiver) = mpsc::channel();
        std::thread::spawn(move || {
            // Drains the output to its end, so that the program never blocks on a full pipe.
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if line.starts_with("event=listening") || line.starts_with("event=started") {
                    let _test_may_be_over = sender.send(line);
                }
            }
        });
        let mut process = Self {
            child,
            line: String::new(),
        };
        process.line = receiver
            .recv_timeout(START_TIMEOUT)
            .map_err(|_timeout| ResultCode::BindFailed)?;
        Ok(process)
    }

    /// Value of `key` in the program's first `event=listening` or `event=started` line; `None` if
    /// the line has no such key.
    pub fn value(&self, key: &str) -> Option<&str> {
        self.line
            .split(' ')
            .find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))
    }

    /// Process id of the program.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends the process a signal by name, such as `TERM` or `STOP`; `true` on success.
    pub fn signal(&self, name: &str) -> bool {
        let target = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &target]).status();
        status.is_ok_and(|status| status.success())
    }

    /// Waits for the process to exit; `None` if its status cannot be read.
    pub fn wait(&mut self) -> Option<ExitStatus> {
        self.child.wait().ok()
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        let _may_have_ended = self.child.kill();
        let _reaped = self.child.wait();
    }
}
