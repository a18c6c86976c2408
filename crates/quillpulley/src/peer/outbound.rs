//! The queue of outgoing messages of one link.

use quillpulley_protocol::{FrameQueue, OutgoingMessage, QueueFull};
use std::task::{Context, Waker};

/// The queue of outgoing messages of a link, and the waker of the task that writes them.
#[derive(Default)]
pub struct Outbound {
    queue: FrameQueue,
    closing: bool,
    /// The waker of the link's task, if it is registered.
    waker: Option<Waker>,
}

impl Outbound {
    /// Inserts bytes at the front of the queue. Must be called before any bytes were written.
    pub fn prepend(&mut self, bytes: &[u8]) {
        self.queue.prepend(bytes);
    }

    /// Queues an encoded message. Drops it if the link is closing.
    ///
    /// # Errors
    /// [`QueueFull`] if more than `max_bytes` would be queued.
    pub fn push(&mut self, message: &OutgoingMessage<'_>, max_bytes: usize) -> Result<(), QueueFull> {
        if self.closing {
            return Ok(());
        }
        self.queue.push(message, max_bytes)?;
        self.wake();
        Ok(())
    }

    /// Requests that the task close the link.
    pub fn close(&mut self) {
        self.closing = true;
        self.wake();
    }

    /// Returns whether the link is to be closed.
    pub fn is_closing(&self) -> bool {
        self.closing
    }

    /// Returns the next bytes to be written; empty if nothing may be sent now.
    pub fn pending(&mut self) -> &[u8] {
        self.queue.pending()
    }

    /// Removes this many bytes from the front of the queue after they were written.
    pub fn advance(&mut self, written: usize) {
        self.queue.advance(written);
    }

    /// Queues an acknowledgement of the chunks that this side has received, and records the chunks that the peer has
    /// acknowledged. Both are counted in bytes.
    pub fn record_chunks(&mut self, received_bytes: usize, acknowledged_bytes: usize) {
        if received_bytes > 0 {
            self.queue.acknowledge_chunks(received_bytes);
        }
        self.queue.receive_acknowledgement(acknowledged_bytes);
    }

    /// Enables compression of long messages. The peer must have announced that it can decompress them.
    pub fn enable_compression(&mut self) {
        self.queue.enable_compression();
    }

    /// Registers the task to be woken when a message is queued, or when the link is to be closed.
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
