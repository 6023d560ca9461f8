//! What the operators' port calls.

use std::fmt;
use std::sync::Arc;

use futures::future::BoxFuture;

use crate::prelude::*;
use crate::vocabulary::change::{ChangeAsk, ChangeDone, ChangeRecord, ChangeRefusal};
use crate::vocabulary::status::ControlStatus;
use crate::vocabulary::view::ControlView;

/// A call that may be refused.
pub type OperatorCall<A, R> =
    Arc<dyn Fn(A) -> BoxFuture<'static, Result<R, ChangeRefusal>> + Send + Sync>;

/// The calls behind the operators' port; clones share them.
#[derive(Clone)]
pub struct OperatorCalls {
    /// Commits a change.
    pub change: OperatorCall<ChangeAsk, ChangeDone>,
    /// The newest view, confirmed by a quorum.
    pub view: OperatorCall<(), Arc<ControlView>>,
    /// The accepted changes of an environment, oldest first, confirmed by a quorum.
    pub history: OperatorCall<EnvironmentName, Vec<ChangeRecord>>,
    /// The state of this control VM as it sees it itself; answered by every control VM.
    pub status: OperatorCall<(), ControlStatus>,
}

impl fmt::Debug for OperatorCalls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OperatorCalls").finish_non_exhaustive()
    }
}
