//! Generates random and damaged input for the tests of the codecs.

/// Returns a generator of pseudo-random bytes (xorshift) that depend only on the seed.
pub fn random_bytes(seed: u64) -> impl FnMut() -> u8 {
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    move || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        (state >> 24) as u8
    }
}

/// Returns 500 damaged copies of `valid`, with bytes changed, bytes removed or the end cut off; every fifth
/// is random bytes of the same length.
pub fn damaged_copies(valid: &[u8]) -> impl Iterator<Item = Vec<u8>> + '_ {
    (0..500).map(|seed| {
        let mut next = random_bytes(seed);
        if seed % 5 == 0 {
            return (0..valid.len()).map(|_| next()).collect();
        }
        let mut copy = valid.to_vec();
        for _ in 0..=next() % 6 {
            let position = usize::from(next()) * copy.len() / 256;
            match next() % 3 {
                0 => copy[position] = next(),
                1 => drop(copy.remove(position)),
                _ => copy.truncate(position.max(8)),
            }
        }
        copy
    })
}
