//! The time as all threads of a core process see it.

use std::sync::Arc;
use std::time::{Duration, Instant};

/// The time since the process started, by a steady clock that goes on while the process is stopped.
#[derive(Clone)]
pub struct Clock(Arc<dyn Fn() -> Duration + Send + Sync>);

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        let start = Instant::now();
        Clock(Arc::new(move || start.elapsed()))
    }

    /// A clock that shows what `read` returns.
    pub fn reading(read: impl Fn() -> Duration + Send + Sync + 'static) -> Self {
        Clock(Arc::new(read))
    }

    /// The time since the start.
    pub fn now(&self) -> Duration {
        (self.0)()
    }
}
