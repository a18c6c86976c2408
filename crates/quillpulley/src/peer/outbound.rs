//! What waits to be written on one link.

use quillpulley_protocol::{FrameQueue, Lane, QueueFull};
use std::task::{Context, Waker};

/// The queue of one link, and who empties it.
#[derive(Default)]
pub struct Outbound {
    queue: FrameQueue,
    ended: bool,
    /// Wakes the link's task.
    waker: Option<Waker>,
}

impl Outbound {
    /// Puts bytes before all that waits; nothing may have been written yet.
    pub fn prepend(&mut self, bytes: &[u8]) {
        self.queue.prepend(bytes);
    }

    /// Adds an encoded message, unless the link has ended.
    pub fn push(&mut self, lane: Lane, message: &[u8], maximum: usize) -> Result<(), QueueFull> {
        if self.ended {
            return Ok(());
        }
        self.queue.push(lane, message, maximum)?;
        self.wake();
        Ok(())
    }

    /// The link is to close.
    pub fn end(&mut self) {
        self.ended = true;
        self.wake();
    }

    /// Returns whether the link is to close.
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Returns the next bytes to write.
    pub fn waiting(&mut self) -> &[u8] {
        self.queue.pending()
    }

    /// So many bytes were written.
    pub fn advance(&mut self, written: usize) {
        self.queue.advance(written);
    }

    /// What has come of pieces, and what the other side tells that has come there.
    pub fn pieces_came(&mut self, here: usize, there: usize) {
        if here > 0 {
            self.queue.acknowledge_chunks(here);
        }
        self.queue.receive_credit(there);
    }

    /// Who is woken when there is something to do.
    pub fn watch(&mut self, context: &Context<'_>) {
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
