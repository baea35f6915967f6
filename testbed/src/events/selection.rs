//! The client proxies, order servers and paths that a fault affects.

use rand_pcg::Pcg32;

use super::Environment;
use crate::chance::uniform;
use crate::datagrams::Lane;
use crate::link::Link;
use crate::scenario::{LinkSet, Selector};

impl Environment {
    fn select(&self, selector: &Selector, all: Vec<usize>, rng: &mut Pcg32) -> Vec<usize> {
        let matches_number = |n: &usize| selector.number.as_ref().is_none_or(|numbers| numbers.contains(n));
        let mut candidates: Vec<usize> = all.into_iter().filter(matches_number).collect();
        let Some(part) = selector.part else { return candidates };
        let count = (part * candidates.len() as f64).round() as usize;
        let mut selected: Vec<usize> = (0..count)
            .map(|_| candidates.swap_remove((uniform(rng) * candidates.len() as f64) as usize))
            .collect();
        selected.sort_unstable();
        selected
    }

    pub(super) fn proxies(&self, selector: &Selector, rng: &mut Pcg32) -> Vec<usize> {
        let matches =
            |n: &usize| selector.zone.as_ref().is_none_or(|zone| self.zones[self.zone_of(*n)].name == *zone);
        self.select(selector, (0..self.proxies.len()).filter(matches).collect(), rng)
    }

    pub(super) fn servers(&self, selector: &Selector, rng: &mut Pcg32) -> Vec<usize> {
        let matches = |n: &usize| {
            let traits = &self.servers[*n].traits;
            selector.zone.as_ref().is_none_or(|zone| self.zones[traits.zone].name == *zone)
                && selector.kind.as_ref().is_none_or(|kind| self.kinds[traits.kind] == *kind)
        };
        self.select(selector, (0..self.servers.len()).filter(matches).collect(), rng)
    }

    /// The paths that a fault affects.
    pub(super) fn selected_paths(&self, links: &LinkSet, rng: &mut Pcg32) -> Vec<Path<'_>> {
        let proxies = self.proxies(&links.proxies, rng);
        if let Some(others) = &links.peers {
            let Some(peers) = &self.peers else { return Vec::new() };
            let others = self.proxies(others, rng);
            let crosses_zones = |n: usize, m: usize| self.zone_of(n) != self.zone_of(m);
            let pairs = proxies.iter().flat_map(|&n| others.iter().map(move |&m| (n, m)));
            let pairs = pairs.filter(|&(n, m)| n != m && (!links.cross_zone_only || crosses_zones(n, m)));
            return pairs.map(|(n, m)| Path::Datagrams(peers.lane(n, m), peers.lane(m, n))).collect();
        }
        let servers = self.servers(&links.servers, rng);
        let crosses_zones = |n: usize, m: usize| self.zone_of(n) != self.servers[m].traits.zone;
        let pairs = proxies.iter().flat_map(|&n| servers.iter().map(move |&m| (n, m)));
        let pairs = pairs.filter(|&(n, m)| !links.cross_zone_only || crosses_zones(n, m));
        pairs.map(|(n, m)| Path::Connections(&self.links[n][m])).collect()
    }
}

/// A path between a client proxy and an order server, or between two client proxies.
pub(super) enum Path<'w> {
    Connections(&'w Link),
    /// The forward and the reverse direction.
    Datagrams(&'w Lane, &'w Lane),
}

impl Path<'_> {
    /// Sets a property of both directions.
    pub(super) fn set<T>(&self, forward: T, reverse: T, link: fn(&Link, T, T), lane: fn(&Lane, T)) {
        match self {
            Path::Connections(connection_link) => link(connection_link, forward, reverse),
            Path::Datagrams(to, from) => {
                lane(to, forward);
                lane(from, reverse);
            }
        }
    }

    /// The affected directions of a datagram path; none for connections.
    pub(super) fn lanes(&self, (forward, reverse): (bool, bool)) -> impl Iterator<Item = &Lane> {
        let affected = match self {
            Path::Connections(_) => [None, None],
            Path::Datagrams(to, from) => [forward.then_some(*to), reverse.then_some(*from)],
        };
        affected.into_iter().flatten()
    }

    /// The link, if this is a path of connections.
    pub(super) fn connections(&self) -> Option<&Link> {
        if let Path::Connections(link) = self { Some(link) } else { None }
    }
}
