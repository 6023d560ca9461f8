//! The states that entries receive in place of those of the log: control keeps the operator's text, and
//! entries receive a document derived from it.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use crate::vocabulary::site::{SiteDocument, SiteState};

/// Returns the document that entries receive in place of an operator's; `None` if it cannot be derived,
/// in which case entries receive none.
pub type EntryDeriver = Box<dyn Fn(&SiteDocument) -> Option<SiteDocument> + Send>;

/// Derives the states that entries receive from those of the log. The document is derived again only
/// if it has changed.
#[expect(
    missing_debug_implementations,
    reason = "a closure has no debug output"
)]
pub struct EntryStates {
    derive: EntryDeriver,
    /// Latest document, and what was derived from it.
    latest: Option<(SiteDocument, Option<SiteDocument>)>,
}

impl EntryStates {
    /// Creates an instance that derives documents with `derive`.
    pub fn open(derive: EntryDeriver) -> Self {
        Self {
            derive,
            latest: None,
        }
    }

    /// Returns the state that entries receive in place of `state`.
    pub fn derive_state(&mut self, state: &SiteState) -> Arc<SiteState> {
        let document = state.document.as_ref();
        let known = self.latest.as_ref().map(|(source, _)| source);
        if known != document {
            self.latest = document.map(|source| (source.clone(), (self.derive)(source)));
        }
        let derived = self
            .latest
            .as_ref()
            .and_then(|(_, derived)| derived.clone());
        Arc::new(SiteState {
            document: derived,
            ..state.clone()
        })
    }
}

/// Publishes the newest state at most once per `interval`, with the document for entries. Operators
/// submit changes in bursts, and each state carries a complete configuration to every entry.
pub async fn publish_states(
    mut states: watch::Receiver<Arc<SiteState>>,
    published: &watch::Sender<Arc<SiteState>>,
    interval: Duration,
    mut deriver: EntryStates,
) {
    loop {
        let state = Arc::clone(&states.borrow_and_update());
        published.send_replace(deriver.derive_state(&state));
        tokio::time::sleep(interval).await;
        if states.changed().await.is_err() {
            return;
        }
    }
}
