//! Messages round-trip through the codec; malformed bytes are rejected without a panic.

use {
    bytes::{Bytes, BytesMut},
    proptest::{collection::vec, prelude::*},
    turmerictack_protocol::{
        codec::{
            CodecError, DecodedFrame, MAX_MESSAGE_BYTES, decode, decode_frame, encode, encode_frame,
        },
        message::{
            Gossip, PeerInfo, PeerReport, PeerRequest, PeerResponse, PeerState, PeerUpstreamLoss,
        },
    },
};

fn peer_info() -> impl Strategy<Value = PeerInfo> {
    let state = prop_oneof![
        Just(PeerState::Alive),
        Just(PeerState::Suspect),
        Just(PeerState::Dead),
        Just(PeerState::Left),
    ];
    (".*", ".*", any::<u64>(), state).prop_map(|(node, address, incarnation, state)| PeerInfo {
        node,
        address,
        data_centre: "norte-1".to_owned(),
        incarnation,
        state,
    })
}

fn request() -> impl Strategy<Value = PeerRequest> {
    let gossip = (peer_info(), any::<u64>(), vec(peer_info(), 0..8), vec((".*", ".*"), 0..4));
    let gossip = gossip.prop_map(|(from, revision, updates, losses)| {
        let losses = losses.into_iter();
        let losses =
            losses.map(|(digest, upstream)| PeerUpstreamLoss { digest, upstream }).collect();
        Gossip { from, revision, updates, losses }
    });
    prop_oneof![
        gossip.prop_map(PeerRequest::Probe),
        any::<u64>().prop_map(|known_revision| PeerRequest::Settings { known_revision }),
        (any::<[u8; 6]>(), any::<u64>())
            .prop_map(|(run, last_change)| PeerRequest::Reports { run, last_change }),
    ]
}

proptest! {
    #[test]
    fn request_round_trips(request in request()) {
        let bytes = encode(&request).unwrap();
        prop_assert_eq!(decode::<PeerRequest>(&bytes).unwrap(), request);
    }

    #[test]
    fn truncated_request_is_rejected(request in request(), cut in 1_usize..64) {
        let bytes = encode(&request).unwrap();
        let length = bytes.len().saturating_sub(cut);
        prop_assert!(decode::<PeerRequest>(&bytes[..length]).is_err());
    }

    #[test]
    fn decoding_random_bytes_never_panics(bytes in vec(any::<u8>(), 0..4096)) {
        let _ = decode::<PeerRequest>(&bytes);
        let _ = decode::<PeerResponse>(&bytes);
    }

    #[test]
    fn trailing_bytes_are_rejected(request in request(), extra in 1_usize..16) {
        let mut bytes = encode(&request).unwrap().to_vec();
        bytes.extend(vec![0; extra]);
        prop_assert_eq!(decode::<PeerRequest>(&bytes), Err(CodecError::Trailing { count: extra }));
    }
}

proptest! {
    /// Messages are decoded completely and in order, whatever chunks their bytes arrive in.
    #[test]
    fn frames_round_trip_in_order(
        messages in vec(vec(any::<u8>(), 0..400), 0..6),
        chunk_size in 1_usize..40,
    ) {
        let mut sent = Vec::new();
        for message in &messages {
            sent.extend_from_slice(&encode_frame(&Bytes::copy_from_slice(message)).unwrap());
        }
        let (mut buf, mut received) = (BytesMut::new(), Vec::new());
        for chunk in sent.chunks(chunk_size) {
            buf.extend_from_slice(chunk);
            while let DecodedFrame::Complete(message) = decode_frame(&mut buf).unwrap() {
                received.push(message.to_vec());
            }
        }
        prop_assert_eq!(received, messages);
        prop_assert!(buf.is_empty());
    }

    #[test]
    fn decoding_random_frames_never_panics(bytes in vec(any::<u8>(), 0..64)) {
        let mut buf = BytesMut::from(bytes.as_slice());
        while let Ok(DecodedFrame::Complete(_)) = decode_frame(&mut buf) {}
    }
}

/// The length alone must suffice to reject a frame; waiting for its bytes would let a peer make the
/// reader buffer more than the limit.
#[test]
fn oversized_frame_is_rejected_by_its_length() {
    let mut buf = BytesMut::from(encode(&(MAX_MESSAGE_BYTES as u32 + 1)).unwrap().as_ref());
    assert_eq!(decode_frame(&mut buf), Err(CodecError::TooLarge));
}

#[test]
fn oversized_message_is_rejected() {
    let text = "x".repeat(MAX_MESSAGE_BYTES + 1);
    let response = PeerResponse::Settings { revision: 1, text: Some(text) };
    assert_eq!(encode(&response), Err(CodecError::TooLarge));
}

/// A forged element count must not make the decoder allocate memory for elements that the message
/// cannot hold.
#[test]
fn forged_length_is_rejected() {
    let report = PeerReport {
        instance: "e".to_owned(),
        age_ms: 0,
        claim: None,
        fence: 0,
        model: None,
        ready: true,
        leaving: false,
    };
    let (run, changed, expired) = ([0; 6], vec![report], Vec::new());
    let response = PeerResponse::Reports { run, last_change: 1, changed, age_ms: 0, expired };
    let mut bytes = encode(&response).unwrap().to_vec();
    // The number of reports follows the variant (1 byte), the run (6) and `last_change` (1).
    bytes[8] = 253;
    bytes.splice(9..9, u64::MAX.to_le_bytes());
    assert_eq!(decode::<PeerResponse>(&bytes), Err(CodecError::Malformed));
}
