//! The monotonic clock that all threads of a control node share.

use std::sync::Arc;
use std::time::{Duration, Instant};

/// A monotonic clock that goes on while the process is suspended.
#[derive(Clone)]
pub struct Clock(Arc<dyn Fn() -> Duration + Send + Sync>);

impl Clock {
    /// Creates a clock that starts at zero now.
    pub fn start() -> Self {
        let start = Instant::now();
        Clock(Arc::new(move || start.elapsed()))
    }

    /// Creates a clock that returns what `read` returns.
    pub fn reading(read: impl Fn() -> Duration + Send + Sync + 'static) -> Self {
        Clock(Arc::new(read))
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        (self.0)()
    }
}
