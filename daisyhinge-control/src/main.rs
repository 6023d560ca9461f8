//! Placeholder of the control program.

fn main() {}
