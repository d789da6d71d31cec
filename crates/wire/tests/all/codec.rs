//! Guards against frames that change in encoding and decoding, and against invalid
//! messages that are decoded as frames.

use carobdrift_units::{Incarnation, Millis, Revision, Version};
use carobdrift_wire::{
    Allocation, Answer, Attempt, Decision, DecodeError, Demand, EncodeError, Evidence, Fingerprint,
    Frame, Grant, MAX_FRAME_BYTES, Query, Requisition, Response, Share, Status, decode, encode,
};

fn share(amount: u32) -> Share {
    Share {
        in_flight: amount,
        per_second: amount + 1,
    }
}

fn frames() -> Vec<Frame> {
    vec![
        Frame::Ping {
            sequence: 6,
            revision: Revision(2),
        },
        Frame::Pong {
            sequence: 7,
            status: Status {
                revision: Revision(3),
                confirmed: Some(Millis(120)),
                store_reachable: true,
                recovered: true,
                cell_size: 15,
                ledger_age: Millis(5_000),
                ready: true,
                leaving: false,
                rates: Vec::new(),
            },
        },
        Frame::Reply {
            request: 2,
            answer: Answer::Versions {
                revision: Revision(9),
                versions: vec![("sheets".parse().unwrap(), Version(4))],
                unreadable: vec!["sheets".parse().unwrap()],
                current: true,
            },
        },
        Frame::Announce {
            service: "sheets".parse().unwrap(),
            version: Version(4),
            revision: Revision(9),
        },
        Frame::Leaving {
            service: "sheets".parse().unwrap(),
            target: "sheets-1".parse().unwrap(),
            evidence: Evidence::Response,
            start: Some("a1".to_owned()),
            version: Version(3),
        },
        Frame::Recall {
            service: "sheets".parse().unwrap(),
        },
        Frame::Query {
            request: 4,
            query: Query::Share {
                asker: Incarnation(5),
                sequence: 6,
                services: vec![Requisition {
                    service: "sheets".parse().unwrap(),
                    limits: vec![Demand {
                        class: Some("view".parse().unwrap()),
                        want: share(8),
                        held: share(2),
                    }],
                }],
            },
        },
        Frame::Reply {
            request: 4,
            answer: Answer::Share {
                services: vec![Grant {
                    service: "sheets".parse().unwrap(),
                    limits: vec![Allocation {
                        class: None,
                        granted: share(7),
                    }],
                }],
                valid_ms: 30_000,
                settled: true,
            },
        },
        Frame::Query {
            request: 1,
            query: Query::Claim {
                service: "draws".parse().unwrap(),
                key: "cd1.e1.5.0.ff.1".parse().unwrap(),
                attempt: Attempt(u128::MAX),
                fingerprint: Fingerprint(1),
            },
        },
        Frame::Reply {
            request: 1,
            answer: Answer::Claim(Decision::AlreadyRun(Some(Response {
                status: 201,
                headers: vec![("location".to_owned(), b"/seedings/1".to_vec())],
                body: b"{}".to_vec(),
            }))),
        },
    ]
}

#[test]
fn frames_survive_a_round_trip() {
    for frame in frames() {
        let bytes = encode(&frame).unwrap();

        assert_eq!(decode(&bytes).unwrap(), frame);
    }
}

#[test]
fn truncated_frames_are_rejected() {
    for frame in frames() {
        let bytes = encode(&frame).unwrap();
        for end in 0..bytes.len() {
            assert!(
                decode(&bytes[..end]).is_err(),
                "{frame:?} truncated to {end} bytes"
            );
        }
    }
}

#[test]
fn trailing_bytes_are_rejected() {
    let mut bytes = encode(&frames()[0]).unwrap();
    bytes.push(0);

    let decoded = decode(&bytes);

    assert!(matches!(decoded, Err(DecodeError::Trailing(1))));
}

#[test]
fn oversized_frames_are_rejected_by_encode_and_decode() {
    let frame = Frame::Reply {
        request: 1,
        answer: Answer::Claim(Decision::AlreadyRun(Some(Response {
            status: 200,
            headers: Vec::new(),
            body: vec![255; MAX_FRAME_BYTES],
        }))),
    };

    assert!(matches!(encode(&frame), Err(EncodeError::TooLarge(_))));
    let decoded = decode(&vec![0; MAX_FRAME_BYTES + 1]);
    assert!(matches!(decoded, Err(DecodeError::TooLarge(_))));
}
