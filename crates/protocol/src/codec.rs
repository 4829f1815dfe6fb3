//! Binary encoding and length-delimited framing of messages.

use {
    bincode::{
        Decode, Encode,
        config::{self, Configuration, Limit, LittleEndian, Varint},
        decode_from_slice, encode_to_vec,
        error::DecodeError,
    },
    bytes::{Buf as _, Bytes, BytesMut},
    derive_more::Error,
    displaydoc::Display,
};

/// Largest encoded message in bytes; leaves room for a services configuration of 1 MB.
pub const MAX_MESSAGE_BYTES: usize = 2 * 1024 * 1024;

const CONFIG: Configuration<LittleEndian, Varint, Limit<MAX_MESSAGE_BYTES>> =
    config::standard().with_limit::<MAX_MESSAGE_BYTES>();

/// Failure to encode or decode a message.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Error)]
pub enum CodecError {
    /// the message exceeds 2 MiB
    TooLarge,
    /// the message is malformed
    Malformed,
    /// the message is followed by {count} extra bytes
    Trailing {
        /// Number of extra bytes.
        count: usize,
    },
}

/// Encodes a message.
///
/// # Errors
/// [`CodecError::TooLarge`].
pub fn encode<T: Encode>(message: &T) -> Result<Bytes, CodecError> {
    let bytes = encode_to_vec(message, CONFIG).map_err(|_| CodecError::TooLarge)?;
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(CodecError::TooLarge);
    }
    Ok(bytes.into())
}

/// Decodes a message, which must take up all of `bytes`.
///
/// # Errors
/// Any [`CodecError`].
pub fn decode<T: Decode<()>>(bytes: &[u8]) -> Result<T, CodecError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(CodecError::TooLarge);
    }
    let (message, read) = decode_from_slice(bytes, CONFIG).map_err(|_| CodecError::Malformed)?;
    match bytes.len() - read {
        0 => Ok(message),
        count => Err(CodecError::Trailing { count }),
    }
}

/// Result of decoding a frame from the start of a buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodedFrame {
    /// The encoded message of the frame, which was removed from the buffer.
    Complete(BytesMut),
    /// The buffer does not hold a complete frame yet.
    Incomplete,
}

/// Prefixes an encoded message with its length; `None` if the length exceeds 32 bits.
pub fn encode_frame(message: &Bytes) -> Option<Bytes> {
    let length = u32::try_from(message.len()).ok()?;
    let mut bytes = encode_to_vec(length, CONFIG).ok()?;
    bytes.extend_from_slice(message);
    Some(bytes.into())
}

/// Removes the first frame from a buffer if it has arrived completely.
///
/// A frame that exceeds [`MAX_MESSAGE_BYTES`] is rejected by its length, before its bytes arrive.
///
/// # Errors
/// [`CodecError::TooLarge`] or [`CodecError::Malformed`].
pub fn decode_frame(buf: &mut BytesMut) -> Result<DecodedFrame, CodecError> {
    let (length, read) = match decode_from_slice::<u32, _>(buf, CONFIG) {
        Ok(found) => found,
        Err(DecodeError::UnexpectedEnd { .. }) => return Ok(DecodedFrame::Incomplete),
        Err(_) => return Err(CodecError::Malformed),
    };
    let length = length as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(CodecError::TooLarge);
    }
    if buf.len() < read + length {
        return Ok(DecodedFrame::Incomplete);
    }
    buf.advance(read);
    Ok(DecodedFrame::Complete(buf.split_to(length)))
}
