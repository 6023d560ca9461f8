//! Log lines of a control process about the states that it applies and publishes to entries.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::shell::control::ControlShell;
use crate::shell::decision::DecisionLog;
use crate::shell::line_budget::LineClass;
use crate::shell::site::ahead::AheadEntry;
use crate::shell::site::serve::SiteRegistry;
use crate::vocabulary::site::{SiteDocument, SiteState};
use crate::vocabulary::text_digest::TextDigest;

/// Maximum number of applied states whose time is recorded until they are published.
const APPLIED_MAX: usize = 64;
/// Minimum time between two lines about entries that have a newer state.
const AHEAD_INTERVAL: Duration = Duration::from_secs(1);

/// A state that was applied and may not have been published yet.
#[derive(Clone, Copy, Debug)]
struct AppliedState {
    revision: u64,
    version: u64,
    at: Instant,
}

/// Digest of the latest document, which is computed again only for another version.
#[derive(Clone, Copy, Debug, Default)]
struct KnownDigest {
    version: u64,
    text: TextDigest,
}

impl KnownDigest {
    fn of(&mut self, document: Option<&SiteDocument>) -> TextDigest {
        let Some(document) = document else {
            return TextDigest::default();
        };
        if document.version != self.version {
            self.version = document.version;
            self.text = document.digest();
        }
        self.text
    }
}

/// Logs each applied and each published state until the process ends.
pub async fn log_states(log: Arc<DecisionLog>, site_registry: SiteRegistry) {
    let shell = site_registry.shell();
    let mut states = shell.published_site().state.subscribe();
    let mut published = site_registry.watch_published();
    states.mark_changed();
    published.mark_changed();
    let mut applied = VecDeque::new();
    let mut digest = KnownDigest::default();
    let mut entry_digest = KnownDigest::default();
    loop {
        tokio::select! {
            // A state is applied before it is published.
            biased;
            Ok(()) = states.changed() => {
                let state = Arc::clone(&states.borrow_and_update());
                if state.revision > 0 {
                    applied.push_back(AppliedState {
                        revision: state.revision,
                        version: state.version(),
                        at: Instant::now(),
                    });
                    let text = digest.of(state.document.as_ref());
                    log.log_view(&state, &format!("{text} {}", describe_position(shell)));
                }
                if applied.len() > APPLIED_MAX {
                    applied.pop_front();
                }
            }
            Ok(()) = published.changed() => {
                let state = Arc::clone(&published.borrow_and_update());
                if state.revision > 0 {
                    let text = entry_digest.of(state.document.as_ref());
                    let details = format!("{text} {}", describe_position(shell));
                    log.write_line(&describe_published(&state, &mut applied, &details));
                }
            }
            else => return,
        }
    }
}

/// Returns how recent the state of this process is: the age of its confirmation, and the log entries
/// that it and its leader know to be committed.
fn describe_position(shell: &ControlShell) -> String {
    let site = shell.published_site();
    let age = shell.quorum_age();
    let age = age.map_or_else(|| "-".to_owned(), |age| age.as_millis().to_string());
    let commit = site.commit.load(Ordering::Relaxed);
    let leader_commit = site.leader_commit.load(Ordering::Relaxed);
    format!("quorum_age_ms={age} commit={commit} leader_commit={leader_commit}")
}

/// Describes a published state, and forgets the states up to it.
fn describe_published(
    state: &SiteState,
    applied: &mut VecDeque<AppliedState>,
    details: &str,
) -> String {
    while applied
        .front()
        .is_some_and(|known| known.revision < state.revision)
    {
        applied.pop_front();
    }
    let known = applied.front();
    let version = known.map_or_else(|| state.version(), |known| known.version);
    let delay = known.map_or(Duration::ZERO, |known| known.at.elapsed());
    format!(
        "event=state_published revision={} version={version} document={} delay_ms={} {details}",
        state.revision,
        state.document.is_some(),
        delay.as_millis()
    )
}

/// Logs entries that have a newer state than this process until the process ends.
pub async fn log_ahead(log: Arc<DecisionLog>, mut ahead: watch::Receiver<Option<AheadEntry>>) {
    while ahead.changed().await.is_ok() {
        let Some(entry) = ahead.borrow_and_update().clone() else {
            continue;
        };
        let age = entry.quorum_age;
        let age = age.map_or_else(|| "-".to_owned(), |age| age.as_millis().to_string());
        log.log_line(LineClass::State, || {
            format!(
                "event=entry_ahead vm={} entry_revision={} revision={} quorum_age_ms={age}",
                entry.vm, entry.entry_revision, entry.revision
            )
        });
        tokio::time::sleep(AHEAD_INTERVAL).await;
    }
}
