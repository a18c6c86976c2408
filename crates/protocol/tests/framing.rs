//! Framing: frames are decoded correctly however the stream is split, and no input makes the decoder panic.

use quickcheck::quickcheck;
use quillpulley_protocol::{
    decode_frame, encode_frame, Append, Body, Entry, FrameDecoder, FrameEncoder, Position, MAX_FRAME_BYTES,
};

fn append(payloads: &[Vec<u8>]) -> Body {
    let entry = |(index, payload): (usize, &Vec<u8>)| Entry {
        epoch: 3,
        index: index as u64,
        payload: payload.clone(),
    };
    Body::Append(Box::new(Append {
        epoch: 3,
        previous: Position { epoch: 2, index: 7 },
        entries: payloads.iter().enumerate().map(entry).collect(),
        committed: 1,
    }))
}

quickcheck! {
    fn frames_are_decoded_however_the_stream_is_split(payloads: Vec<Vec<u8>>, cuts: Vec<u8>) -> bool {
        let sent: Vec<Body> = payloads.iter().map(|p| append(std::slice::from_ref(p))).collect();
        let stream: Vec<u8> = sent.iter().cloned().flat_map(encode_frame).collect();
        let mut decoder = FrameDecoder::default();
        let mut received = Vec::new();
        let mut rest = &stream[..];
        let mut sizes = cuts.iter().map(|c| usize::from(*c) + 1).chain(std::iter::repeat(13));
        while !rest.is_empty() {
            let (part, left) = rest.split_at(sizes.next().unwrap_or(1).min(rest.len()));
            decoder.push(part);
            rest = left;
            while let Some(body) = decoder.next_frame().expect("valid frames") {
                received.push(body);
            }
        }
        received == sent
    }

    fn frame_encoder_and_encode_frame_write_the_same_bytes(payloads: Vec<Vec<u8>>) -> bool {
        let mut encoder = FrameEncoder::default();
        let mut stream = Vec::new();
        let bodies: Vec<Body> = payloads.iter().map(|p| append(std::slice::from_ref(p))).collect();
        for body in &bodies {
            encoder.append(body, &mut stream);
        }
        stream == bodies.into_iter().flat_map(encode_frame).collect::<Vec<u8>>()
    }

    fn decoding_arbitrary_bytes_never_panics(bytes: Vec<u8>) -> bool {
        let _ = decode_frame(&bytes);
        true
    }

    fn decoding_a_corrupted_frame_never_panics(payload: Vec<u8>, at: usize, byte: u8) -> bool {
        let mut framed = encode_frame(append(&[payload]));
        let at = 4 + at % (framed.len() - 4);
        framed[at] = byte;
        let _ = decode_frame(&framed[4..]);
        true
    }
}

#[test]
fn a_length_over_the_limit_is_an_error_at_once() {
    let mut decoder = FrameDecoder::default();
    decoder.push(&(MAX_FRAME_BYTES as u32 + 1).to_le_bytes());
    assert!(decoder.next_frame().is_err());
}
