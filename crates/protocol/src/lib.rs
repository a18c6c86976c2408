//! The internal protocol of quillpulley: typed messages (generated from `protocol.fbs`) and their framing.
//!
//! A frame on a stream consists of a four-byte little-endian prefix and a payload. The low bits of the prefix are the
//! length of the payload. The bits above tell whether the payload is a complete message (a flatbuffer of the type
//! [`Frame`]), a chunk of a long message, or an acknowledgement of chunks. [`FrameQueue`] splits long messages into
//! chunks, and [`FrameDecoder`] joins them. Published values and log entries are separate flatbuffers, which are written
//! by [`encode_value`] and read by [`decode_value`].

#[rustfmt::skip]
#[allow(clippy::all, missing_docs)]
#[allow(clippy::missing_errors_doc)]
mod generated;

mod compression;
mod framing;
mod lane;
mod locality;
mod node_id;
mod outgoing;
mod queue;

pub use framing::{
    compression_announcement, decode_frame, decode_value, encode_frame, encode_value, frame_message,
    FrameDecoder, FrameEncoder, ProtocolError, MAX_CHUNK_BYTES, MAX_FRAME_BYTES,
};
pub use generated::quillpulley::protocol::*;
pub use lane::Lane;
pub use locality::Locality;
pub use outgoing::{OutgoingMessage, MIN_COMPRESSED_ORDERED_BYTES};
pub use queue::{FrameQueue, QueueFull, CHUNK_WINDOW_BYTES};
