//! Rendezvous hashing: which of several candidates holds a duty.
//!
//! Every candidate gets a score, a hash of its name and the name of the duty, and the candidate
//! with the highest score holds the duty (Thaler and Ravishankar, 1998). When a candidate leaves,
//! only its duties move. The incarnation is not part of the score, so a restarted router gets its
//! duties back.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::Xxh3;

/// Score of one candidate for one duty.
pub type Score = u64;

/// Returns the score of a candidate.
pub fn score(host: &str, duty: &str) -> Score {
    let mut hash = Xxh3::new();
    // The length prefix makes two splits of the same bytes into duty and host hash differently.
    hash.update(&(duty.len() as u64).to_le_bytes());
    hash.update(duty.as_bytes());
    hash.update(host.as_bytes());
    hash.digest()
}

/// Returns the candidate that holds the duty.
pub fn holder<'a, I>(hosts: I, duty: &str) -> Option<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    hosts
        .into_iter()
        .max_by_key(|host| (score(host, duty), *host))
}

/// Assigns several duties evenly to the candidates; returns the holder of each duty.
///
/// Each duty, in the given order, is assigned to the candidate with the highest score among those
/// that hold fewer than their even share so far, as in consistent hashing with bounded loads
/// (Mirrokni, Thorup and Zadimoghaddam, 2018) without slack. Callers with the same candidates and
/// duties get the same result.
pub fn assign_evenly<'a>(hosts: &[&'a str], duties: &[String]) -> Vec<Option<&'a str>> {
    let max_duties = duties.len().div_ceil(hosts.len().max(1));
    let mut held: BTreeMap<&str, usize> = BTreeMap::new();
    let mut holders = Vec::with_capacity(duties.len());
    for duty in duties {
        let has_room = |host: &&str| held.get(*host).copied().unwrap_or(0) < max_duties;
        let found = holder(hosts.iter().copied().filter(has_room), duty);
        if let Some(host) = found {
            *held.entry(host).or_default() += 1;
        }
        holders.push(found);
    }
    holders
}

/// Returns the candidates by descending score for the duty.
pub fn ranking<'a, I>(hosts: I, duty: &str) -> Vec<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    let mut ranked: Vec<&str> = hosts.into_iter().collect();
    ranked.sort_by_cached_key(|host| std::cmp::Reverse((score(host, duty), *host)));
    ranked
}
