//! Entry point.

fn main() {}
