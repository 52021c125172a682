//! Counts what is open, such as connections, until it is dropped.

use std::cell::Cell;
use std::rc::Rc;

/// Number of open things of one kind; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct OpenCount(Rc<Cell<usize>>);

impl OpenCount {
    /// Returns how many are open.
    pub fn get(&self) -> usize {
        self.0.get()
    }

    /// Counts one more until the result is dropped.
    #[must_use]
    pub fn begin(&self) -> Open {
        self.0.set(self.0.get() + 1);
        Open(self.clone())
    }
}

/// Something that counts as open.
#[derive(Debug)]
pub struct Open(OpenCount);

impl Drop for Open {
    fn drop(&mut self) {
        let count = &self.0.0;
        count.set(count.get() - 1);
    }
}
