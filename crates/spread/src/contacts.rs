//! Who exchanges rows with whom.
//!
//! The contacts of a host follow from the names and data centres of the live hosts alone, so that
//! all hosts that know the same ones agree. Within a data centre each host has at most
//! [`LOCAL_CONTACTS_MAX`] contacts on a ring with chords, and a row reaches all of them in a number
//! of hops that grows with the cube root of their number. Two pairs of hosts join each two data
//! centres, so that the loss of one host cuts nothing off.

use {
    egret_core::rendezvous_weight,
    faststr::FastStr,
    indexmap::{IndexMap, IndexSet},
    std::cmp::Reverse,
};

/// Highest number of contacts in the same data centre.
const LOCAL_CONTACTS_MAX: usize = 6;

/// Pairs of hosts that join two data centres.
const BRIDGES: usize = 2;

/// Hosts that try to reach a host that counts as dead.
const PROBERS: usize = 2;

/// A host that may be live.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Name of the host.
    pub host: FastStr,
    /// Its data centre.
    pub data_centre: FastStr,
}

/// The contacts of `own` among the other members. Each is a contact of the other.
#[must_use]
pub fn contacts(own: &Member, others: &[Member]) -> IndexSet<FastStr> {
    let mut by_data_centre: IndexMap<&FastStr, Vec<&FastStr>> = IndexMap::new();
    for member in others.iter().chain([own]) {
        by_data_centre.entry(&member.data_centre).or_default().push(&member.host);
    }
    let local = by_data_centre.swap_remove(&own.data_centre).unwrap_or_default();
    let mut contacts = local_contacts(&own.host, local.clone());
    for (data_centre, remote) in by_data_centre {
        contacts.extend(bridges(own, &local, data_centre, remote));
    }
    contacts
}

fn local_contacts(own: &FastStr, mut local: Vec<&FastStr>) -> IndexSet<FastStr> {
    let count = local.len();
    if count <= LOCAL_CONTACTS_MAX + 1 {
        return local.into_iter().filter(|host| *host != own).cloned().collect();
    }
    local.sort_by_cached_key(|host| (rendezvous_weight("ring", host), *host));
    let Some(position) = local.iter().position(|host| *host == own) else {
        return IndexSet::new();
    };
    let chord = (1..count).find(|chord| chord.pow(3) >= count).unwrap_or(1);
    let offsets = [1, chord, chord * chord];
    let places = offsets.into_iter().flat_map(|offset| {
        let offset = offset % count;
        [(position + offset) % count, (position + count - offset) % count]
    });
    places.filter(|place| *place != position).map(|place| local[place].clone()).collect()
}

fn bridges(
    own: &Member,
    local: &[&FastStr],
    data_centre: &FastStr,
    remote: Vec<&FastStr>,
) -> impl Iterator<Item = FastStr> {
    let (first, second) = if own.data_centre < *data_centre {
        (&own.data_centre, data_centre)
    } else {
        (data_centre, &own.data_centre)
    };
    let key = format!("{first}|{second}");
    let ranked = |mut hosts: Vec<&FastStr>| {
        hosts.sort_by_cached_key(|host| (Reverse(rendezvous_weight(&key, host)), *host));
        hosts.into_iter().cloned().collect::<Vec<FastStr>>()
    };
    let (local, remote) = (ranked(local.to_vec()), ranked(remote));
    let own = own.host.clone();
    (0..BRIDGES)
        .filter(move |rank| local[rank % local.len()] == own)
        .map(move |rank| remote[rank % remote.len()].clone())
}

/// True if `own` is one of the hosts that try to reach `dead`, which no live host has heard of for a
/// while. A host that was cut off and sees no other one alive tries all of them.
#[must_use]
pub fn is_prober(own: &FastStr, dead: &str, live: &[Member]) -> bool {
    let key = format!("probe {dead}");
    let own_weight = rendezvous_weight(&key, own);
    let others = live.iter().filter(|member| member.host != *own);
    others.filter(|member| rendezvous_weight(&key, &member.host) > own_weight).count() < PROBERS
}
