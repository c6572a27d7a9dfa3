//! The nutmegspread command.

fn main() {}
