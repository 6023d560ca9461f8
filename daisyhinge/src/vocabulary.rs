//! Identifiers, messages and result codes shared by all processes. Contains no logic beyond
//! validation.

pub mod announcement;
pub mod answer;
pub mod change;
pub mod claim;
pub mod clock;
pub mod code;
pub mod control;
pub mod customer;
pub mod document;
pub mod environment;
pub mod event;
pub mod feature;
pub mod field_error;
pub mod freshness;
pub mod name;
pub mod query;
pub mod quota;
pub mod registration;
pub mod replica;
pub mod rollout;
pub mod run;
pub mod setting;
pub mod site;
pub mod subrequest;
pub mod text_digest;
pub mod version_one;
pub mod view;
