//! Starts programs of the workspace for tests and ends them with the test.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc;
use std::time::Duration;

use daisyhinge::prelude::*;

/// Longest wait for a program to say that it serves.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// A running program. It is killed when dropped.
#[derive(Debug)]
pub struct TestProcess {
    child: Child,
    line: String,
}

/// Path of another program of the workspace, which `cargo test --workspace` builds beside `mine`.
pub fn find_program(mine: &str, name: &str) -> PathBuf {
    Path::new(mine).with_file_name(name)
}

impl TestProcess {
    /// Starts `program` and waits for its line that begins with `event=listening` or
    /// `event=started`.
    ///
    /// # Errors
    ///
    /// [`ResultCode::BindFailed`] if it does not start to serve.
    pub fn spawn(program: &Path, arguments: &[&str]) -> Result<Self, ResultCode> {
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|_fault| ResultCode::BindFailed)?;
        let output = child.stdout.take().ok_or(ResultCode::BindFailed)?;
        let (sender, receiver) = mpsc::channel();
        std::thread::spawn(move || {
            // Reads on to the end, so that the program never blocks on a full pipe.
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
            .map_err(|_late| ResultCode::BindFailed)?;
        Ok(process)
    }

    /// The value of `key` in the line that the program printed when it began to serve.
    pub fn value(&self, key: &str) -> Option<&str> {
        self.line
            .split(' ')
            .find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends it a signal by name, such as `TERM` or `STOP`.
    pub fn signal(&self, name: &str) -> bool {
        let target = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &target]).status();
        status.is_ok_and(|status| status.success())
    }

    /// Waits for its end.
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
