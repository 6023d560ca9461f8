//! Operators who race one another, send again, and take data centres out and return them.

use std::sync::Arc;

use daisyhinge::control::core::{CoreReply, CoreRequest};
use daisyhinge::prelude::*;
use daisyhinge::vocabulary::answer::QueryAnswer;
use daisyhinge::vocabulary::change::{ChangeKind, ChangeRequest};
use daisyhinge::vocabulary::environment::{
    AddressPolicy, CentreEntry, CentreState, EnvironmentDocument, RegionEntry, ServiceEntry,
};
use daisyhinge::vocabulary::query::AnswerPreference;
use rand::RngExt;

use crate::control_side::CONTROLS;
use crate::world::{
    AcceptedChange, Asker, CENTRES, ENVIRONMENT, Item, MS, PRINT, SEARCH, SECOND, World,
};

/// Changes that operators may send again.
const RECENT_MAX: usize = 6;

fn make_service(name: &str, repeatable: bool) -> ServiceEntry {
    ServiceEntry {
        name: name.into(),
        repeatable,
        deadline_ms: 1_000,
        minimum_coverage_ppm: 0,
        preference: AnswerPreference::Latency,
        extra_work_ppm: 50_000,
        running_max: 1_024,
    }
}

impl World {
    pub fn operate(&mut self) {
        let calm = self.calm_since.is_some();
        let gap = self.random.random_range(200 * MS..1_500 * MS);
        self.push(gap, None, Item::Operate);
        if calm && self.is_set_up() {
            return;
        }
        match self.random.random_range(0..10) {
            _ if self.views.is_empty() || calm => self.apply(CentreState::In),
            0..2 => self.race(),
            2..4 => self.set_centre(CentreState::Out),
            4..8 => self.set_centre(CentreState::In),
            _ => self.send_again(),
        }
    }

    /// Whether the newest view known has all data centres in.
    fn is_set_up(&self) -> bool {
        let newest = self.views.values().next_back();
        let document = newest.and_then(|view| view.environments.get(&ENVIRONMENT.into()));
        document.is_some_and(|document| {
            CENTRES.iter().all(|name| {
                let centre = document.find_centre(&CentreName::from(*name));
                centre.is_some_and(|centre| centre.state == CentreState::In)
            })
        })
    }

    fn make_document(&mut self, second: CentreState) -> EnvironmentDocument {
        self.document_number += 1;
        let states = [CentreState::In, second];
        let regions = CENTRES.iter().zip(states).map(|(name, state)| RegionEntry {
            name: format!("region-{name}").as_str().into(),
            data_centres: vec![CentreEntry {
                name: (*name).into(),
                state,
                power_cap: None,
            }],
        });
        EnvironmentDocument {
            regions: regions.collect(),
            services: vec![make_service(SEARCH, true), make_service(PRINT, false)],
            addresses: AddressPolicy {
                keep_ms: 1,
                count: self.document_number,
            },
        }
    }

    fn apply(&mut self, second: CentreState) {
        let document = Arc::new(self.make_document(second));
        let environment = EnvironmentName::from(ENVIRONMENT);
        let base = self
            .cluster
            .versions
            .get(&environment)
            .copied()
            .unwrap_or(0);
        let ask = ChangeRequest {
            change: ChangeId::from(format!("apply-{}", self.document_number)),
            base: Some(VersionNumber(base)),
            operator: Arc::from("ada"),
            made_ms: 0,
            kind: ChangeKind::Apply {
                environment,
                document,
            },
        };
        self.send_change(ask);
    }

    /// Two operators change the same version.
    fn race(&mut self) {
        self.apply(CentreState::In);
        self.apply(CentreState::Out);
    }

    fn set_centre(&mut self, state: CentreState) {
        let centre = CENTRES[self.random.random_range(0..CENTRES.len())];
        self.document_number += 1;
        let ask = ChangeRequest {
            change: ChangeId::from(format!("centre-{}", self.document_number)),
            base: None,
            operator: Arc::from("bola"),
            made_ms: 0,
            kind: ChangeKind::SetCentre {
                environment: ENVIRONMENT.into(),
                data_centre: centre.into(),
                state,
            },
        };
        self.send_change(ask);
    }

    fn send_again(&mut self) {
        if self.recent_changes.is_empty() {
            return;
        }
        let which = self.random.random_range(0..self.recent_changes.len());
        let ask = self.recent_changes[which].clone();
        self.send_change(ask);
    }

    fn send_change(&mut self, ask: ChangeRequest) {
        let place = match self.cluster.leader() {
            Some(leader) if self.chance(800) => leader,
            _ => self.random.random_range(0..CONTROLS),
        };
        if !self.recent_changes.contains(&ask) {
            self.recent_changes.push(ask.clone());
        }
        if self.recent_changes.len() > RECENT_MAX {
            self.recent_changes.remove(0);
        }
        let item = Item::Control {
            place,
            ask: CoreRequest::Change(ask.clone(), None),
            asker: Asker::Operator(ask),
        };
        let delay = self.random.random_range(MS..20 * MS);
        self.push(delay, None, item);
    }

    pub fn take_change_reply(&mut self, ask: &ChangeRequest, reply: &CoreReply) {
        let CoreReply::Change(Ok(done)) = reply else {
            return;
        };
        let version = done.version;
        let first = self.answered_changes.insert(ask.change.clone(), version);
        if let Some(first) = first {
            assert_eq!(first, version, "a resent change got another version");
            return;
        }
        let known = self.cluster.versions.entry(ENVIRONMENT.into()).or_default();
        *known = (*known).max(version.0);
        let taken_out = match &ask.kind {
            ChangeKind::SetCentre {
                data_centre,
                state: CentreState::Out,
                ..
            } => Some(data_centre.clone()),
            _ => None,
        };
        self.counts.accepted += 1;
        self.counts.take_outs += u64::from(taken_out.is_some());
        self.accepted.push(AcceptedChange {
            at: self.cluster.now,
            version,
            taken_out,
        });
    }
}

/// Whether every shard is here.
pub fn is_whole_answer(answer: &QueryAnswer) -> bool {
    answer.missing.is_empty() && answer.answered_weight == answer.whole_weight
}

/// Longest time from acceptance until a change is in force at whoever still dispatches.
pub const IN_FORCE_SPAN: u64 = 5 * SECOND;
