//! Digest of a set, kept up to date by change.
//!
//! Addresses deployments of thousands of targets: hosts compare their states several times a second,
//! and a digest over all targets at each comparison cost a large part of a small host's processor
//! time.

/// Sum of the hashes of the members of a set. It does not depend on the order of the changes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct SetDigest(u64);

impl SetDigest {
    /// Replaces the member with the hash `before` by the one with the hash `after`. The hash of an
    /// absent member is 0.
    pub(super) fn replace(&mut self, before: u64, after: u64) {
        self.0 = self.0.wrapping_sub(before).wrapping_add(after);
    }

    pub(super) fn value(self) -> u64 {
        self.0
    }
}
