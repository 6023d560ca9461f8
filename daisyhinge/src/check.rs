//! Parses untrusted JSON and reports all errors at once, each with its path.
//!
//! Parsing takes two passes: the first walks a tree that preserves duplicate fields and collects
//! errors; if there are none, the second deserializes the typed value with serde.

pub mod fault_list;
pub mod json_value;
pub mod reader;
pub mod tree;

pub use fault_list::ErrorList;
pub use reader::ObjectReader;
pub use tree::{JsonField, JsonTree, parse_tree};
