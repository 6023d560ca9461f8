//! An in-memory control group behind real operator ports, and a runner of the command-line
//! program.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::{Arc, Mutex};

use daisyhinge::control::state_machine::EnvironmentReading;
use daisyhinge::prelude::*;
use daisyhinge::shell::operator::{OperatorCalls, OperatorPort, OperatorToken};
use daisyhinge::vocabulary::change::{
    ChangeKind, ChangeRecord, ChangeRefusal, ChangeRequest, CommittedChange,
};
use daisyhinge::vocabulary::control::{ControlRole, ControlStatus, EntryStatus, VoterStatus};
use daisyhinge::vocabulary::environment::EnvironmentDocument;
use daisyhinge::vocabulary::view::{ControlView, EntryRecord, EntryState};
use tempfile::TempDir;

pub const TOKEN: &str = "0123456789abcdef-test";

/// State of the group, which the tests read and change.
#[derive(Debug, Default)]
pub struct GroupState {
    pub view: ControlView,
    pub histories: BTreeMap<EnvironmentName, Vec<ChangeRecord>>,
    pub replies: BTreeMap<ChangeId, Result<CommittedChange, ChangeRefusal>>,
    pub entries: Vec<EntryStatus>,
    pub voters: Vec<VoterStatus>,
    /// Number of further changes that are applied but answered with an unknown outcome.
    pub lose_replies: u32,
}

impl GroupState {
    fn change(&mut self, request: &ChangeRequest) -> Result<CommittedChange, ChangeRefusal> {
        let reply = match self.replies.get(&request.change) {
            Some(reply) => reply.clone(),
            None => self.apply(request),
        };
        self.replies.insert(request.change.clone(), reply.clone());
        if self.lose_replies > 0 {
            self.lose_replies -= 1;
            return Err(make_refusal(
                ResultCode::ChangeOutcomeUnknown,
                VersionNumber(0),
                None,
            ));
        }
        reply
    }

    fn apply(&mut self, request: &ChangeRequest) -> Result<CommittedChange, ChangeRefusal> {
        let (environment, document) = match &request.kind {
            ChangeKind::Apply {
                environment,
                document,
            } => (environment, Arc::clone(document)),
            ChangeKind::Promote { from, trusted, to } => {
                if self.version_of(from) != *trusted {
                    let current = self.version_of(from);
                    return Err(make_refusal(ResultCode::PromoteMismatch, current, None));
                }
                (to, Arc::clone(&self.view.environments[from]))
            }
            ChangeKind::SetCentre {
                environment,
                data_centre,
                state,
            } => {
                let existing = self.view.environments.get(environment);
                let mut document = EnvironmentDocument::clone(existing.unwrap());
                for region in &mut document.regions {
                    for centre in &mut region.data_centres {
                        if centre.name == *data_centre {
                            centre.state = *state;
                        }
                    }
                }
                (environment, Arc::new(document))
            }
            ChangeKind::AddVoter { vm, address } => {
                self.voters.push(VoterStatus {
                    vm: vm.clone(),
                    number: 9,
                    address: *address,
                    learner: true,
                    matched: None,
                    heard_ms: None,
                });
                let version = self.view.version;
                return Ok(CommittedChange { version });
            }
            ChangeKind::RemoveVoter { .. } => {
                return Err(make_refusal(
                    ResultCode::UnknownVoter,
                    VersionNumber(0),
                    None,
                ));
            }
        };
        let current = self.version_of(environment);
        if request.base.is_some_and(|base| base != current) {
            let last = self
                .histories
                .get(environment)
                .and_then(|records| records.last());
            let winner = last.map(|record| record.change.clone());
            return Err(make_refusal(ResultCode::VersionConflict, current, winner));
        }
        self.view.version.0 += 1;
        let version = self.view.version;
        let record = ChangeRecord {
            version,
            change: request.change.clone(),
            operator: Arc::clone(&request.operator),
            made_ms: request.made_ms,
            summary: Arc::from("changed"),
        };
        self.histories
            .entry(environment.clone())
            .or_default()
            .push(record);
        self.view.environments.insert(environment.clone(), document);
        Ok(CommittedChange { version })
    }

    fn version_of(&self, environment: &EnvironmentName) -> VersionNumber {
        let last = self
            .histories
            .get(environment)
            .and_then(|records| records.last());
        last.map_or(VersionNumber(0), |record| record.version)
    }

    fn status(&self, leading: bool) -> ControlStatus {
        ControlStatus {
            vm: VmName::from("control-1"),
            number: 1,
            role: if leading {
                ControlRole::Leader
            } else {
                ControlRole::Follower
            },
            term: 1,
            leader: None,
            leader_operator: None,
            commit: 0,
            snapshot: 0,
            version: self.view.version,
            claims: 0,
            confirmed_ms: leading.then_some(5),
            voters: self.voters.clone(),
            entries: self.entries.clone(),
        }
    }
}

/// A running group: one follower and one leader.
pub struct FakeGroup {
    pub state: Arc<Mutex<GroupState>>,
    pub folder: TempDir,
    follower_port: OperatorPort,
    leader_port: OperatorPort,
    runtime: tokio::runtime::Runtime,
}

impl FakeGroup {
    pub fn open() -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let state = Arc::new(Mutex::new(GroupState::default()));
        let leader_port = runtime.block_on(bind_port(leader_calls(&state)));
        let follower_port = runtime.block_on(bind_port(follower_calls(leader_port.address())));
        let folder = tempfile::tempdir().unwrap();
        fs::write(folder.path().join("token"), TOKEN).unwrap();
        Self {
            state,
            folder,
            follower_port,
            leader_port,
            runtime,
        }
    }

    pub fn runtime(&self) -> &tokio::runtime::Runtime {
        &self.runtime
    }

    /// Writes a file into the folder of the test.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.path().join(name);
        fs::write(&path, text).unwrap();
        path
    }

    /// Runs the program in the folder of the test, with the address of the follower listed first.
    pub fn run(&self, arguments: &str) -> Output {
        let operators = format!(
            "{},{}",
            self.follower_port.address(),
            self.leader_port.address()
        );
        run_program(&self.folder, arguments, &operators)
    }

    pub fn add_entry(&self, vm: &str, holds: u64, asked_ms: u64) {
        let entry = EntryRecord {
            vm: VmName::from(vm),
            environment: EnvironmentName::from("production"),
            data_centre: CentreName::from("lagos-1"),
            incarnation: IncarnationNumber(7),
            caller_address: "127.0.0.1:7000".parse().unwrap(),
            peer_address: "127.0.0.1:7001".parse().unwrap(),
            state: EntryState::Live,
        };
        let status = EntryStatus {
            vm: entry.vm.clone(),
            environment: entry.environment.clone(),
            incarnation: entry.incarnation,
            holds: Some(VersionNumber(holds)),
            asked_ms: Some(asked_ms),
        };
        let mut state = self.state.lock().unwrap();
        state.view.entries.push(entry);
        state.entries.push(status);
    }
}

/// Runs the program with arguments separated by spaces; an argument cannot contain one.
pub fn run_program(folder: &TempDir, arguments: &str, operators: &str) -> Output {
    Command::new(env!("CARGO_BIN_EXE_daisyhinge"))
        .args(arguments.split_whitespace())
        .current_dir(folder.path())
        .env("DAISYHINGE_OPERATORS", operators)
        .env("DAISYHINGE_TOKEN_FILE", "token")
        .env("USER", "ada")
        .output()
        .unwrap()
}

fn make_refusal(
    code: ResultCode,
    current: VersionNumber,
    winner: Option<ChangeId>,
) -> ChangeRefusal {
    ChangeRefusal {
        code,
        current,
        winner,
        leader: None,
    }
}

async fn bind_port(calls: OperatorCalls) -> OperatorPort {
    let token = OperatorToken::parse(TOKEN).unwrap();
    OperatorPort::bind("127.0.0.1:0".parse().unwrap(), token, calls)
        .await
        .unwrap()
}

fn leader_calls(state: &Arc<Mutex<GroupState>>) -> OperatorCalls {
    let [change, view, environment, history, status] = [0; 5].map(|_| Arc::clone(state));
    OperatorCalls {
        change: Arc::new(move |request| {
            let reply = change.lock().unwrap().change(&request);
            Box::pin(std::future::ready(reply))
        }),
        view: Arc::new(move |()| {
            let view = view.lock().unwrap().view.clone();
            Box::pin(std::future::ready(Ok(Arc::new(view))))
        }),
        environment: Arc::new(move |name| {
            let state = environment.lock().unwrap();
            let existing = state.view.environments.get(&name);
            let reading = existing.map(|document| EnvironmentReading {
                version: state.version_of(&name),
                document: Arc::clone(document),
            });
            let unknown = make_refusal(ResultCode::UnknownEnvironment, VersionNumber(0), None);
            Box::pin(std::future::ready(reading.ok_or(unknown)))
        }),
        history: Arc::new(move |environment| {
            let existing = history.lock().unwrap().histories.get(&environment).cloned();
            let unknown = make_refusal(ResultCode::UnknownEnvironment, VersionNumber(0), None);
            Box::pin(std::future::ready(existing.ok_or(unknown)))
        }),
        status: Arc::new(move |()| {
            let status = status.lock().unwrap().status(true);
            Box::pin(std::future::ready(Ok(status)))
        }),
    }
}

fn follower_calls(leader: SocketAddr) -> OperatorCalls {
    let refusal = ChangeRefusal {
        leader: Some(leader),
        ..make_refusal(ResultCode::NotLeader, VersionNumber(0), None)
    };
    let [change, view, environment, history] = [0; 4].map(|_| refusal.clone());
    OperatorCalls {
        change: Arc::new(move |_| Box::pin(std::future::ready(Err(change.clone())))),
        view: Arc::new(move |()| Box::pin(std::future::ready(Err(view.clone())))),
        environment: Arc::new(move |_| Box::pin(std::future::ready(Err(environment.clone())))),
        history: Arc::new(move |_| Box::pin(std::future::ready(Err(history.clone())))),
        status: Arc::new(|()| {
            let status = GroupState::default().status(false);
            Box::pin(std::future::ready(Ok(status)))
        }),
    }
}
