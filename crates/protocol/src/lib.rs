//! The internal protocol of quillpulley: typed messages (generated from `protocol.fbs`) and their framing.
//!
//! A frame on a stream is its length as four bytes, least significant first, and then one flatbuffer of the type
//! [`Frame`]. The bits above the length distinguish chunks of long messages from complete ones ([`FrameQueue`] splits
//! them, [`FrameDecoder`] joins them). Published values and log entries are flatbuffers of their own, read and
//! written by [`encode_value`] and [`decode_value`].

#[rustfmt::skip]
#[allow(clippy::all, missing_docs)]
#[allow(clippy::missing_errors_doc)]
mod generated;

mod compression;
mod framing;
mod lane;
mod locality;
mod node_id;
mod queue;

pub use framing::{
    compression_announcement, decode_frame, decode_value, encode_frame, encode_value, frame_message,
    FrameDecoder, FrameEncoder, ProtocolError, MAX_CHUNK_BYTES, MAX_FRAME_BYTES,
};
pub use generated::quillpulley::protocol::*;
pub use lane::Lane;
pub use locality::Locality;
pub use queue::{FrameQueue, QueueFull, CHUNK_WINDOW_BYTES};
