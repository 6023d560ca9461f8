//! Reads JSON from outside and finds all its faults at once, each with its path.
//!
//! A text is read in two passes: the first walks a tree that keeps duplicate fields and lists
//! faults, the second builds the typed value by serde once no fault was found.

pub mod fault_list;
pub mod reader;
pub mod tree;

pub use fault_list::FaultList;
pub use reader::ObjectReader;
pub use tree::{JsonField, JsonTree, parse_tree};
