//! Condition for raising the feature level.

use std::time::Duration;

use super::ServerRegistry;
use crate::prelude::*;
use crate::vocabulary::feature::FeatureLevel;
use crate::vocabulary::registration::EntryPhase;

/// Time for which all processes must have stated a level before it is raised. It exceeds the time
/// after which an entry counts as lost, so that a new leader knows all entries by then.
const RAISE_DELAY: Duration = Duration::from_secs(5);

/// Tracks how long all processes have supported a higher feature level than the current one.
#[derive(Clone, Debug, Default)]
pub struct LevelWatch {
    /// Supported level and the time since which it has been supported without interruption.
    pending: Option<(FeatureLevel, MonotonicTime)>,
}

impl LevelWatch {
    /// Returns the level to raise `current` to, if all of `levels`, stated by the other processes,
    /// have permitted it for 5 s. Must be called several times per second.
    pub fn step(
        &mut self,
        now: MonotonicTime,
        current: FeatureLevel,
        levels: &[FeatureLevel],
    ) -> Option<FeatureLevel> {
        let stated = levels.iter().copied().min();
        let supported = stated.map_or(FeatureLevel::SUPPORTED, |stated| {
            stated.min(FeatureLevel::SUPPORTED)
        });
        if supported <= current {
            self.pending = None;
            return None;
        }
        let since = match self.pending {
            Some((level, since)) if level == supported => since,
            _ => now,
        };
        self.pending = Some((supported, since));
        (now.since(since) >= RAISE_DELAY).then_some(supported)
    }
}

impl ServerRegistry {
    /// Returns the feature levels of all entries that are not lost.
    pub fn entry_levels(&self) -> impl Iterator<Item = FeatureLevel> {
        let entries = self.entries.values().map(|tracked| &tracked.presence);
        entries
            .filter(|presence| presence.phase != EntryPhase::Lost)
            .map(|presence| presence.feature_level)
    }
}
