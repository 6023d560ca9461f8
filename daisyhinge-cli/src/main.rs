//! Placeholder of the cli program.

fn main() {}
