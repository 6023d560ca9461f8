//! Encoding of commands and of the replicated state in the log.
//!
//! Commands and state that builds of [`FeatureLevel::BASE`] know are encoded with bincode, exactly as
//! those builds encode them. All others are encoded with field names: commands after
//! a mark, state in an extension after the former encoding. Neither is written before
//! the feature level is raised, so that a build of the base level can read everything until then.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::pin::pin;
use std::sync::Arc;

use bytes::{BufMut, Bytes, BytesMut};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_serde::{Deserializer, Serializer};

use crate::control::core::StateCodec;
use crate::control::state_machine::changes::{ChangeTable, EnvironmentState};
use crate::control::state_machine::claims::ClaimTable;
use crate::control::state_machine::entries::EntryTable;
use crate::control::state_machine::{CommandKind, LogCommand, ReplicatedState};
use crate::prelude::*;
use crate::shell::link_version::{decode_named, encode_named};
use crate::vocabulary::feature::FeatureLevel;
use crate::vocabulary::rollout::RolloutRecord;
use crate::vocabulary::site::SiteState;
use crate::vocabulary::version_one::SiteStateV1;

/// Encoding used by control processes.
pub const STATE_CODEC: StateCodec = StateCodec {
    encode_command,
    decode_command,
    encode_state,
    decode_state,
};

/// First byte of a command with field names. No command in bincode starts with it: its first bytes
/// are an integer of variable length, in which this byte is invalid.
const NAMED_MARK: u8 = 0xff;

/// Replicated state as encoded by builds of the base level; frozen.
#[derive(Deserialize, Serialize)]
struct ReplicatedStateV1<'a> {
    version: VersionNumber,
    clock_ms: u64,
    environments: Cow<'a, BTreeMap<EnvironmentName, EnvironmentState>>,
    changes: Cow<'a, ChangeTable>,
    entries: Cow<'a, EntryTable>,
    claims: Cow<'a, ClaimTable>,
    site: SiteStateV1,
}

/// Replicated state that builds of the base level do not know. Every field has a default.
#[derive(Default, Deserialize, Serialize)]
#[serde(default)]
struct StateExtension {
    rollouts: BTreeMap<ServiceName, RolloutRecord>,
    feature_level: FeatureLevel,
}

fn encode_command(command: &LogCommand) -> Bytes {
    match &command.kind {
        CommandKind::Site(change) if !change.is_base() => {
            let encoded = encode_named(command);
            let mut bytes = BytesMut::with_capacity(1 + encoded.len());
            bytes.put_u8(NAMED_MARK);
            bytes.put(encoded);
            bytes.freeze()
        }
        _ => encode(command),
    }
}

fn decode_command(bytes: &Bytes) -> Option<LogCommand> {
    match bytes.split_first() {
        Some((&NAMED_MARK, encoded)) => decode_named(encoded),
        _ => decode(bytes),
    }
}

fn encode_state(state: &ReplicatedState) -> Bytes {
    let site = SiteState::clone(&state.site);
    let extension = StateExtension {
        rollouts: site.rollouts.clone(),
        feature_level: site.feature_level,
    };
    let former = encode(&ReplicatedStateV1 {
        version: state.version,
        clock_ms: state.clock_ms,
        environments: Cow::Borrowed(&state.environments),
        changes: Cow::Borrowed(&state.changes),
        entries: Cow::Borrowed(&state.entries),
        claims: Cow::Borrowed(&state.claims),
        site: site.into(),
    });
    if extension.feature_level == FeatureLevel::BASE {
        return former;
    }
    let mut bytes = BytesMut::from(former);
    bytes.put(encode(&encode_named(&extension)));
    bytes.freeze()
}

fn decode_state(bytes: &Bytes) -> Option<ReplicatedState> {
    let (former, extension) = match decode::<(ReplicatedStateV1, Bytes)>(bytes) {
        Some((former, extension)) => (former, decode_named(&extension)?),
        None => (decode(bytes)?, StateExtension::default()),
    };
    let site = SiteState {
        rollouts: extension.rollouts,
        feature_level: extension.feature_level,
        ..SiteState::from(former.site)
    };
    Some(ReplicatedState {
        version: former.version,
        clock_ms: former.clock_ms,
        environments: former.environments.into_owned(),
        changes: former.changes.into_owned(),
        entries: former.entries.into_owned(),
        claims: former.claims.into_owned(),
        site: Arc::new(site),
    })
}

/// Encodes a value with bincode.
///
/// # Panics
/// If the type can't be encoded, which is a bug.
pub fn encode<T: Serialize>(value: &T) -> Bytes {
    pin!(Bincode::<(), T>::default())
        .serialize(value)
        .expect("log types can be encoded")
}

/// Decodes a value; `None` if the bytes are invalid.
pub fn decode<T: DeserializeOwned>(bytes: &Bytes) -> Option<T> {
    let bytes = BytesMut::from(bytes.as_ref());
    pin!(Bincode::<T, ()>::default()).deserialize(&bytes).ok()
}
