//! Mutated inputs for decoders.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Pieces that decoders treat specially, in text and in binary formats.
const PIECES: &[&[u8]] = &[
    b"\r\n",
    b"\r\n\r\n",
    b"\0",
    b"\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01",
    b"18446744073709551616",
    b"-1",
    b"1e999",
    b"[[[[[[[[",
    b"{\"a\":",
    b"\"",
    b"chunked",
    b"content-length: 7\r\n",
    b"\xc3\x28",
];

/// Returns `count` inputs, each of which is one of the samples with up to four
/// changes. The same seed gives the same inputs.
///
/// # Panics
///
/// Panics if there are no samples.
#[must_use]
pub fn inputs(seed: u64, samples: &[Vec<u8>], count: usize) -> Vec<Vec<u8>> {
    let mut random = StdRng::seed_from_u64(seed);
    let inputs = (0..count).map(|_| {
        let mut input = samples[random.random_range(0..samples.len())].clone();
        for _ in 0..random.random_range(1..=4) {
            change(&mut input, &mut random);
        }
        input
    });
    inputs.collect()
}

/// Changes one place of an input.
fn change(input: &mut Vec<u8>, random: &mut StdRng) {
    let place = random.random_range(0..=input.len());
    let length = random.random_range(0..=(input.len() - place).min(16));
    match random.random_range(0..6) {
        0 if place < input.len() => input[place] ^= 1 << random.random_range(0..8),
        1 if place < input.len() => input[place] = random.random(),
        2 => input.truncate(place),
        3 => drop(input.drain(place..place + length)),
        4 => {
            let repeated = input[place..place + length].to_vec();
            input.splice(place..place, repeated);
        }
        _ => {
            let piece = PIECES[random.random_range(0..PIECES.len())];
            input.splice(place..place, piece.iter().copied());
        }
    }
}
