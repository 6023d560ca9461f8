//! Placeholder of the entry program.

fn main() {}
