//! Assignment of resources to keepers.

use {super::Resource, crate::rendezvous_weight, faststr::FastStr, indexmap::IndexMap};

/// Proposes a keeper for each resource by rendezvous hashing with bounded loads: no keeper gets
/// more than its even share, rounded up (Mirrokni et al. 2018). Keepers with the same view propose
/// the same assignment; a differing view costs a claim that loses.
///
/// # Panics
///
/// Only when the shares do not add up to the number of resources, which they always do.
#[must_use]
pub fn assign_keepers(resources: &[Resource], keepers: &[FastStr]) -> IndexMap<Resource, FastStr> {
    let mut proposals = IndexMap::new();
    if keepers.is_empty() {
        return proposals;
    }
    for group in [engines(resources), permits(resources)] {
        let share = group.len().div_ceil(keepers.len());
        let mut loads: IndexMap<&FastStr, usize> = keepers.iter().map(|k| (k, 0)).collect();
        for resource in group {
            let key = resource.to_string();
            let below_share = loads.iter().filter(|(_, load)| **load < share);
            let best = below_share.max_by_key(|(keeper, _)| rendezvous_weight(&key, keeper));
            let keeper: &FastStr = best.expect("shares add up to at least the group").0;
            proposals.insert(resource.clone(), keeper.clone());
            loads[keeper] += 1;
        }
    }
    proposals
}

fn engines(resources: &[Resource]) -> Vec<&Resource> {
    sorted(resources, |r| matches!(r, Resource::Engine(_)))
}

fn permits(resources: &[Resource]) -> Vec<&Resource> {
    sorted(resources, |r| matches!(r, Resource::Permit(_)))
}

fn sorted(resources: &[Resource], keep: fn(&Resource) -> bool) -> Vec<&Resource> {
    let mut group: Vec<&Resource> = resources.iter().filter(|r| keep(r)).collect();
    group.sort();
    group
}
