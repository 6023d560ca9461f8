//! Log lines of a control process about the group: its own membership, the other members, its contact
//! to a quorum, and how far it is behind its leader.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::shell::control::ControlShell;
use crate::shell::decision::DecisionLog;
use crate::shell::line_budget::LineClass;
use crate::vocabulary::control::{ControlRole, ControlStatus, VoterStatus};
use crate::vocabulary::freshness::QUORUM_AGE_MAX;

/// Time between two readings of the status.
const READING_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a process must lack what its leader has committed before that is logged.
const BEHIND_MIN: Duration = Duration::from_millis(300);
/// Silence after which a removed member counts as removed for its silence. A member that answers is
/// heard every 100 ms.
const SILENT_MIN: Duration = Duration::from_secs(2);

/// State of a control process in the group at one time.
#[derive(Clone, Debug)]
pub struct GroupReading {
    /// When it was read.
    pub at: Instant,
    /// Status of the process.
    pub status: ControlStatus,
    /// Index of the last committed log entry that the leader stated.
    pub leader_commit: u64,
    /// Time since a quorum last confirmed the state; `None` if it never did.
    pub quorum_age: Option<Duration>,
}

/// A log entry that the leader has committed and this process lacks.
#[derive(Clone, Copy, Debug)]
struct MissingEntry {
    index: u64,
    since: Instant,
    is_logged: bool,
}

/// Compares the readings of a control process and describes the differences.
#[derive(Debug, Default)]
pub struct GroupWatch {
    former: Option<GroupReading>,
    missing: Option<MissingEntry>,
    /// When contact to a quorum was lost.
    lost_at: Option<Instant>,
}

impl GroupWatch {
    /// Returns the log lines for what has changed since the former reading.
    pub fn observe(&mut self, reading: GroupReading) -> Vec<String> {
        let mut lines = Vec::new();
        self.compare_membership(&reading, &mut lines);
        self.compare_members(&reading, &mut lines);
        self.compare_contact(&reading, &mut lines);
        self.compare_commit(&reading, &mut lines);
        self.former = Some(reading);
        lines
    }

    fn compare_membership(&self, reading: &GroupReading, lines: &mut Vec<String>) {
        let known = |reading: &GroupReading| name_membership(reading.status.role);
        let former = self.former.as_ref().map_or("-", known);
        let membership = known(reading);
        if former != membership {
            lines.push(format!(
                "event=membership_changed membership={membership} former={former} members={} {}",
                reading.status.voters.len(),
                describe_position(reading)
            ));
        }
    }

    fn compare_members(&self, reading: &GroupReading, lines: &mut Vec<String>) {
        let Some(former) = &self.former else {
            return;
        };
        let members = &reading.status.voters;
        let leading = reading.status.role == ControlRole::Leader;
        for member in members {
            match find_member(&former.status.voters, member) {
                None => lines.push(format!(
                    "event=member_added member={} address={} learner={} leading={leading}",
                    name_member(member),
                    member.address,
                    member.learner
                )),
                Some(known) if known.learner && !member.learner => lines.push(format!(
                    "event=member_promoted member={} leading={leading}",
                    name_member(member)
                )),
                Some(_) => {}
            }
        }
        let elapsed = reading.at.saturating_duration_since(former.at);
        for gone in &former.status.voters {
            if find_member(members, gone).is_none() {
                lines.push(describe_removal(gone, members, elapsed, leading));
            }
        }
    }

    fn compare_contact(&mut self, reading: &GroupReading, lines: &mut Vec<String>) {
        // The first contact is logged at once, and not here.
        let Some(age) = reading.quorum_age else {
            return;
        };
        match (self.lost_at, age > QUORUM_AGE_MAX) {
            (None, true) => {
                self.lost_at = reading.at.checked_sub(age);
                lines.push(format!(
                    "event=quorum_lost age_ms={} {}",
                    age.as_millis(),
                    describe_position(reading)
                ));
            }
            (Some(lost_at), false) => {
                self.lost_at = None;
                lines.push(format!(
                    "event=quorum_gained lost_ms={} {}",
                    reading.at.saturating_duration_since(lost_at).as_millis(),
                    describe_position(reading)
                ));
            }
            (None, false) | (Some(_), true) => {}
        }
    }

    fn compare_commit(&mut self, reading: &GroupReading, lines: &mut Vec<String>) {
        let commit = reading.status.commit;
        if let Some(missing) = self.missing.filter(|missing| commit >= missing.index) {
            if missing.is_logged {
                lines.push(describe_lag("log_caught_up", reading, missing));
            }
            self.missing = None;
        }
        if reading.status.role == ControlRole::Leader || commit >= reading.leader_commit {
            return;
        }
        let missing = self.missing.get_or_insert(MissingEntry {
            index: reading.leader_commit,
            since: reading.at,
            is_logged: false,
        });
        let lagged = reading.at.saturating_duration_since(missing.since);
        if !missing.is_logged && lagged >= BEHIND_MIN {
            missing.is_logged = true;
            lines.push(describe_lag("log_behind", reading, *missing));
        }
    }
}

fn name_membership(role: ControlRole) -> &'static str {
    match role {
        ControlRole::Leader | ControlRole::Follower | ControlRole::Candidate => "voter",
        ControlRole::Learner => "learner",
        ControlRole::Outside => "outside",
    }
}

fn name_role(role: ControlRole) -> &'static str {
    match role {
        ControlRole::Leader => "leader",
        ControlRole::Follower => "follower",
        ControlRole::Candidate => "candidate",
        ControlRole::Learner => "learner",
        ControlRole::Outside => "outside",
    }
}

fn name_member(member: &VoterStatus) -> String {
    format!("{}#{:x}", member.vm, member.number)
}

fn find_member<'a>(members: &'a [VoterStatus], wanted: &VoterStatus) -> Option<&'a VoterStatus> {
    let same = |member: &&VoterStatus| member.vm == wanted.vm && member.number == wanted.number;
    members.iter().find(same)
}

/// Describes the removal of a member. Only the leader knows for how long the member was silent.
fn describe_removal(
    gone: &VoterStatus,
    members: &[VoterStatus],
    elapsed: Duration,
    leading: bool,
) -> String {
    let silent = gone.heard_ms.map(|ms| Duration::from_millis(ms) + elapsed);
    let reason = if members.iter().any(|member| member.vm == gone.vm) {
        "replaced"
    } else if silent.is_some_and(|silent| silent >= SILENT_MIN) {
        "silent"
    } else {
        "-"
    };
    let silent = silent.map_or_else(|| "-".to_owned(), |silent| silent.as_millis().to_string());
    format!(
        "event=member_removed member={} address={} reason={reason} silent_ms={silent} \
         members={} leading={leading}",
        name_member(gone),
        gone.address,
        members.len()
    )
}

fn describe_position(reading: &GroupReading) -> String {
    let status = &reading.status;
    let leader = status.leader.as_ref().map_or("-", |vm| vm.as_str());
    format!(
        "role={} term={} leader={leader} commit={} leader_commit={}",
        name_role(status.role),
        status.term,
        status.commit,
        reading.leader_commit
    )
}

fn describe_lag(event: &str, reading: &GroupReading, missing: MissingEntry) -> String {
    let lagged = reading.at.saturating_duration_since(missing.since);
    format!(
        "event={event} missing={} behind_ms={} {}",
        missing.index,
        lagged.as_millis(),
        describe_position(reading)
    )
}

/// Logs the process's place in the group, and publishes its status for metrics, until it stops.
pub async fn log_group(
    log: Arc<DecisionLog>,
    shell: ControlShell,
    newest: Arc<watch::Sender<Option<ControlStatus>>>,
) {
    let mut group = GroupWatch::default();
    while let Some(status) = shell.status().await {
        newest.send_replace(Some(status.clone()));
        let reading = GroupReading {
            at: Instant::now(),
            status,
            leader_commit: shell.published_site().leader_commit.load(Ordering::Relaxed),
            quorum_age: shell.quorum_age(),
        };
        for line in group.observe(reading) {
            log.log_line(LineClass::State, || line);
        }
        tokio::time::sleep(READING_INTERVAL).await;
    }
}
