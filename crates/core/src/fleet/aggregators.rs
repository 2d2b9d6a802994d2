//! Which host aggregates the requests at a target without an owner.
//!
//! Addresses deployments of hundreds of hosts with thousands of targets: ranking all hosts for each
//! target at each interval grows with their product, so a choice is kept until the hosts change.

use {
    crate::hash::{mix_hashes, text_hash},
    faststr::FastStr,
    indexmap::IndexMap,
};

#[derive(Clone, Debug, Eq, PartialEq)]
struct Candidate {
    host: FastStr,
    data_centre: FastStr,
    // of the host's name
    hash: u64,
}

#[derive(Clone, Debug)]
struct Choice {
    data_centre: FastStr,
    host: FastStr,
    round: u64,
}

/// Aggregators of targets.
#[derive(Clone, Debug, Default)]
pub struct Aggregators {
    // ordered by name
    candidates: Vec<Candidate>,
    by_target: IndexMap<FastStr, Choice>,
    round: u64,
}

impl Aggregators {
    /// Starts a round of choices among `hosts`, given as name and data centre. Choices that are not
    /// made again in this round end with [`Self::end_round`].
    pub fn begin_round(&mut self, hosts: impl IntoIterator<Item = (FastStr, FastStr)>) {
        let candidate = |(host, data_centre): (FastStr, FastStr)| {
            let hash = text_hash(&host);
            Candidate { host, data_centre, hash }
        };
        let mut candidates: Vec<Candidate> = hosts.into_iter().map(candidate).collect();
        candidates.sort_unstable_by(|a, b| a.host.cmp(&b.host));
        if candidates != self.candidates {
            self.candidates = candidates;
            self.by_target.clear();
        }
        self.round += 1;
    }

    /// Chooses the aggregator of `target`: the first host of its data centre in the rendezvous order,
    /// or the first of all if none is there.
    pub fn choose(&mut self, target: &FastStr, data_centre: &FastStr) {
        if let Some(known) = self.by_target.get_mut(target)
            && known.data_centre == *data_centre
        {
            known.round = self.round;
            return;
        }
        let target_hash = text_hash(target);
        let weight = |candidate: &&Candidate| {
            (candidate.data_centre == *data_centre, mix_hashes(target_hash, candidate.hash))
        };
        if let Some(candidate) = self.candidates.iter().max_by_key(weight) {
            let (data_centre, host) = (data_centre.clone(), candidate.host.clone());
            self.by_target.insert(target.clone(), Choice { data_centre, host, round: self.round });
        }
    }

    /// Forgets targets for which no choice was made in this round.
    pub fn end_round(&mut self) {
        self.by_target.retain(|_, choice| choice.round == self.round);
    }

    /// The host that aggregates the requests at `target`.
    #[must_use]
    pub fn get(&self, target: &str) -> Option<&FastStr> {
        self.by_target.get(target).map(|choice| &choice.host)
    }

    /// Targets whose aggregator is `host`.
    pub fn targets_of<'a>(&'a self, host: &'a str) -> impl Iterator<Item = &'a FastStr> {
        let own = self.by_target.iter().filter(move |(_, choice)| choice.host == host);
        own.map(|(target, _)| target)
    }
}
