//! Names that an engine gives, of reservations and of memory, are valid in one life of it.
//!
//! An engine that starts again under its name and address may give the same names to other requests.
//! Its registration tells of that late; its connections break at once.

use ebonyloft_router::catalog::ServerId;

use super::pool::ConnWatch;
use super::shared::Shared;

/// The life of an engine in which it gave a name.
#[derive(Clone, Debug)]
pub struct EngineLife {
    id: ServerId,
    watch: ConnWatch,
}

impl EngineLife {
    /// The life of the engine that named something in an answer over a connection.
    pub fn new(id: ServerId, watch: ConnWatch) -> Self {
        EngineLife { id, watch }
    }

    /// The life of an engine that answered another gateway or engine.
    pub fn unwatched(id: ServerId) -> Self {
        EngineLife { id, watch: ConnWatch::default() }
    }

    /// The engine.
    pub fn id(&self) -> &ServerId {
        &self.id
    }

    /// Is it over, as far as is known here?
    pub fn has_ended(&self, shared: &Shared) -> bool {
        self.watch.has_broken() || shared.registry.borrow().has_ended(&self.id)
    }
}
