//! The subcommands, one file each.

pub mod demo;
pub mod load;
pub mod prove;
