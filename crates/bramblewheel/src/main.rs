//! Entry point of the operator command line.

fn main() {}
