//! Hashes that every process computes in the same way.

use {
    serde::{Deserialize, Serialize},
    xxhash_rust::xxh3::{xxh3_64, xxh3_128},
};

/// Identifies the content of a request, whatever request id the caller gives it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

/// Fingerprint of a request: the full name of its model and its body without the request id.
#[must_use]
pub fn fingerprint(model: &str, content: &[u8]) -> Fingerprint {
    Fingerprint(mix_hashes(xxh3_64(model.as_bytes()), xxh3_64(content)))
}

/// 128-bit digest of `content`, in hexadecimal.
#[must_use]
pub fn hex_digest(content: &[u8]) -> String {
    format!("{:032x}", xxh3_128(content))
}

/// Mixes two hashes into one (the finalizer of `SplitMix64`, Steele et al. 2014).
#[must_use]
pub const fn mix_hashes(a: u64, b: u64) -> u64 {
    let mut z = a ^ b.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Hash of a key or of a node's name. [`mix_hashes`] of both gives their [`rendezvous_weight`], so
/// a key that is compared with many nodes is hashed once.
pub(crate) fn text_hash(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}

/// Weight of `node` for `key` in rendezvous hashing (Thaler and Ravishankar 1998): the node with
/// the highest weight is chosen first.
#[must_use]
pub fn rendezvous_weight(key: &str, node: &str) -> u64 {
    mix_hashes(text_hash(key), text_hash(node))
}
