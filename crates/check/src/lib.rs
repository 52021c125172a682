//! Proof of the protocols: small specifications searched exhaustively, and randomised runs of the
//! machines that the daemon runs.

pub mod explore;
pub mod fleet;
pub mod soak;
pub mod specs;
pub mod tokens;
