//! Small stand-ins for what surrounds the router, and the tools that measure it.

pub mod client;
pub mod cmd;
pub mod engine;
pub mod load;
pub mod node;
pub mod platform;
pub mod relay;
pub mod service;
pub mod site;
pub use ebonyloft_check::tokens;
