//! Breadth-first search of a specification.

use std::cell::Cell;
use std::fmt::Debug;
use std::hash::Hash;

use pathfinding::prelude::bfs;

/// A specification: states, what may follow each, and what must hold in all.
pub trait Spec: Clone + Debug + Eq + Hash {
    /// Names a step in a trace.
    type Label: Clone + Debug;
    /// All states that may follow, each with the step that leads there.
    fn next(&self) -> Vec<(Self::Label, Self)>;
    /// The rule that this state breaks.
    fn broken(&self) -> Option<&'static str>;
}

/// Outcome of a search.
#[derive(Clone, Debug)]
pub struct Found {
    /// States seen.
    pub states: usize,
    /// Was every reachable state seen?
    pub exhausted: bool,
    /// The rule broken, and the shortest way to it.
    pub broken: Option<(&'static str, Vec<String>)>,
}

#[derive(Clone, Debug)]
struct Step<S: Spec> {
    label: Option<S::Label>,
    state: S,
}

impl<S: Spec> PartialEq for Step<S> {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl<S: Spec> Eq for Step<S> {}

impl<S: Spec> Hash for Step<S> {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        self.state.hash(state);
    }
}

/// Searches all states, or the first `limit`.
pub fn search<S: Spec>(start: S, limit: usize) -> Found {
    let states = Cell::new(0_usize);
    let cut = Cell::new(false);
    let first = Step {
        label: None,
        state: start,
    };
    let successors = |step: &Step<S>| {
        states.set(states.get() + 1);
        if states.get() > limit {
            cut.set(true);
            return Vec::new();
        }
        let next = step.state.next();
        next.into_iter()
            .map(|(label, state)| Step {
                label: Some(label),
                state,
            })
            .collect()
    };
    let path = bfs(&first, successors, |step| step.state.broken().is_some());
    let broken = path.and_then(|path| {
        let rule = path.last()?.state.broken()?;
        Some((
            rule,
            path.into_iter()
                .filter_map(|s| s.label)
                .map(|l| format!("{l:?}"))
                .collect(),
        ))
    });
    Found {
        states: states.get(),
        exhausted: !cut.get(),
        broken,
    }
}
