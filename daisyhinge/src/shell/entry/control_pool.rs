//! The entry's connection to one of the control VMs.

use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::Mutex;
use tarpc::client::Config;

use crate::shell::link::ControlLinkClient;
use crate::shell::transport::connect_link;

/// Timeout for connecting to a control VM and for each call to it.
pub(super) const CONTROL_TIMEOUT: Duration = Duration::from_millis(700);

/// Connection to the control VM in use. After a failure the next one in the list is used.
#[derive(Debug, Default)]
pub struct ControlPool {
    current: Mutex<ControlChoice>,
}

#[derive(Debug, Default)]
struct ControlChoice {
    index: usize,
    link: Option<ControlLinkClient>,
}

impl ControlPool {
    /// Returns the link to the current control VM, connecting if necessary.
    pub(super) async fn link(&self, control: &[SocketAddr]) -> Option<ControlLinkClient> {
        let index = {
            let current = self.current.lock();
            if let Some(link) = &current.link {
                return Some(link.clone());
            }
            current.index
        };
        let address = *control.get(index % control.len().max(1))?;
        let transport = connect_link(address, CONTROL_TIMEOUT).await?;
        let link = ControlLinkClient::new(Config::default(), transport).spawn();
        self.current.lock().link = Some(link.clone());
        Some(link)
    }

    /// Drops the connection and selects the next control VM in the list.
    pub(super) fn advance(&self) {
        let mut current = self.current.lock();
        current.index = current.index.wrapping_add(1);
        current.link = None;
    }
}
