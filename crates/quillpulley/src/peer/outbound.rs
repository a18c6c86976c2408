//! The queue of messages to be written on a link.

use quillpulley_protocol::{FrameQueue, Lane, QueueFull};
use std::task::{Context, Waker};

/// The queue of a link, and the waker of the task that writes it.
#[derive(Default)]
pub struct Outbound {
    queue: FrameQueue,
    ended: bool,
    /// Wakes the link's task.
    waker: Option<Waker>,
}

impl Outbound {
    /// Inserts bytes before the queue. Must be called before anything was written.
    pub fn prepend(&mut self, bytes: &[u8]) {
        self.queue.prepend(bytes);
    }

    /// Adds an encoded message, unless the link is closing.
    ///
    /// # Errors
    /// [`QueueFull`] if too many bytes are queued.
    pub fn push(&mut self, lane: Lane, message: &[u8], max_bytes: usize) -> Result<(), QueueFull> {
        if self.ended {
            return Ok(());
        }
        self.queue.push(lane, message, max_bytes)?;
        self.wake();
        Ok(())
    }

    /// Has the link closed.
    pub fn end(&mut self) {
        self.ended = true;
        self.wake();
    }

    /// Returns whether the link is closing.
    pub fn is_closing(&self) -> bool {
        self.ended
    }

    /// Returns the next bytes to be written.
    pub fn pending(&mut self) -> &[u8] {
        self.queue.pending()
    }

    /// Records that this many bytes were written.
    pub fn advance(&mut self, written: usize) {
        self.queue.advance(written);
    }

    /// Records the chunks that were received here, and those that the peer has acknowledged.
    pub fn record_chunks(&mut self, here: usize, there: usize) {
        if here > 0 {
            self.queue.acknowledge_chunks(here);
        }
        self.queue.receive_credit(there);
    }

    /// Has long log entries and states compressed, which the peer can decompress.
    pub fn enable_compression(&mut self) {
        self.queue.enable_compression();
    }

    /// Registers the task to be woken when there is something to write.
    pub fn register_waker(&mut self, context: &Context<'_>) {
        match &mut self.waker {
            Some(waker) => waker.clone_from(context.waker()),
            none => *none = Some(context.waker().clone()),
        }
    }

    fn wake(&mut self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}
