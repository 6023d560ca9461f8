//! Publication of the log's states to entries, at a limited rate.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use super::entry_states::EntryStates;
use crate::vocabulary::site::SiteState;

/// Minimum time between two states published to entries.
pub(super) const PUBLISH_INTERVAL: Duration = Duration::from_millis(250);
/// Number of states after whose publication a process does not pause: that of its snapshot, and that
/// of the log after it, once a leader has committed it. The empty state does not count.
const PROMPT_STATES: u32 = 2;

/// Publishes the newest state at most once per `interval`, with the document for entries. Operators
/// submit changes in bursts, and each state carries a complete configuration to every entry. There
/// is no pause after the first states of a process.
pub async fn publish_states(
    mut states: watch::Receiver<Arc<SiteState>>,
    published: &watch::Sender<Arc<SiteState>>,
    interval: Duration,
    mut deriver: EntryStates,
) {
    let mut prompt_states = PROMPT_STATES;
    loop {
        let state = Arc::clone(&states.borrow_and_update());
        published.send_replace(deriver.derive_state(&state));
        if prompt_states == 0 {
            tokio::time::sleep(interval).await;
        } else if state.revision > 0 {
            prompt_states -= 1;
        }
        if states.changed().await.is_err() {
            return;
        }
    }
}
