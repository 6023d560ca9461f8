//! Raises the feature level once all processes support the next one.

use std::time::Duration;

use super::serve::SiteRegistry;
use crate::registry::LevelWatch;

/// Time between two checks of the stated levels.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Proposes a higher feature level when [`LevelWatch`] permits it. Every control process checks, but
/// only the leader's proposal is accepted.
pub(super) async fn run_levels(site_registry: SiteRegistry) {
    let mut watch = LevelWatch::default();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let shell = site_registry.shell();
        if shell.published_site().members.borrow().is_empty() {
            continue;
        }
        let current = shell.published_site().state.borrow().feature_level;
        let mut levels = site_registry.control_levels();
        site_registry.with_registry(|registry| levels.extend(registry.entry_levels()));
        if let Some(level) = watch.step(site_registry.now(), current, &levels) {
            // Checked again at the next interval: this process may not lead.
            let _: Result<_, _> = shell.raise_level(level).await;
        }
    }
}
