//! Reads and checks scenarios.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use super::{Fault, LinkSet, Scenario, ScenarioError, Selector};

/// Longest chain of `based_on`, so that a cycle ends in an error.
const MAX_BASE_DEPTH: usize = 8;

fn read_table(path: &Path) -> Result<toml::Table, ScenarioError> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path);
    let text = text.map_err(|error| ScenarioError::File { file: file.clone(), error })?;
    text.parse().map_err(|error| ScenarioError::Form { file, error: Box::new(error) })
}

impl Scenario {
    /// Reads and checks a scenario.
    ///
    /// # Errors
    /// Names the file, the key and the reason.
    pub fn read(path: &Path) -> Result<Scenario, ScenarioError> {
        let file = path.display().to_string();
        let form_error = |error| ScenarioError::Form { file: file.clone(), error: Box::new(error) };
        let mut table = read_table(path)?;
        // Keys that the file lacks come from the scenario in the same folder that `based_on` names, and so
        // on.
        let mut depth = 0;
        while let Some(base) = table.remove("based_on") {
            depth += 1;
            let base = base.as_str().filter(|_| depth <= MAX_BASE_DEPTH);
            let base_error =
                || ("based_on".to_owned(), "is not a string, or the chain is longer than 8 scenarios");
            let base = base.ok_or_else(base_error).map_err(|(key, reason)| ScenarioError::Value {
                file: file.clone(),
                key,
                reason,
            })?;
            for (key, value) in read_table(&path.with_file_name(base).with_extension("toml"))? {
                table.entry(key).or_insert(value);
            }
        }
        let scenario: Scenario = table.try_into().map_err(form_error)?;
        let value_error = |(key, reason)| ScenarioError::Value { file: file.clone(), key, reason };
        scenario.check().map_err(value_error).map(|()| scenario)
    }

    /// Multiplies the numbers of client proxies, order servers and requests by `times`. Faults that select by
    /// `number` affect the same indices as before; those that select by `part`, `zone` or `kind` affect more.
    ///
    /// # Errors
    /// If the result exceeds a limit, such as 250 client proxies.
    pub fn scaled(mut self, times: usize, file: &str) -> Result<Scenario, ScenarioError> {
        self.fleet.proxies *= times;
        self.load.per_second *= times as f64;
        self.kind.iter_mut().for_each(|kind| kind.servers *= times);
        let value_error = |(key, reason)| ScenarioError::Value { file: file.to_owned(), key, reason };
        self.check().map_err(value_error).map(|()| self)
    }

    fn check(&self) -> Result<(), (String, &'static str)> {
        let Scenario { fleet, load, class, kind, zone, contract, .. } = self;
        let is_positive = |value: f64| value.is_finite() && value > 0.0;
        let require = |condition: bool, key: &str, reason| {
            if condition { Ok(()) } else { Err((key.to_owned(), reason)) }
        };
        require(self.warm_up < self.duration, "warm_up", "must be shorter than the duration")?;
        require((1..=250).contains(&fleet.proxies), "fleet.proxies", "is not 1 to 250")?;
        require(is_positive(fleet.cores), "fleet.cores", "is not above 0")?;
        require(is_positive(load.per_second), "load.per_second", "is not above 0")?;
        require(
            load.burst.iter().all(|burst| is_positive(burst.times)),
            "load.burst.times",
            "is not above 0",
        )?;
        require(
            load.try_timeout_share > 0.0 && load.try_timeout_share <= 1.0,
            "load.try_share",
            "must be above 0 and at most 1",
        )?;
        require((0.0..=1.0).contains(&load.retry_after_compliance), "load.honour", "is not from 0 to 1")?;
        require((0.0..=1.0).contains(&load.disconnect_share), "load.impatient", "is not from 0 to 1")?;
        require(self.cell != Some(0), "cell", "is 0")?;
        require(!class.is_empty(), "class", "needs at least one entry")?;
        require(!kind.is_empty(), "kind", "needs at least one entry")?;
        require(!zone.is_empty(), "zone", "needs at least one entry")?;
        require(class.iter().all(|class| is_positive(class.share)), "class.share", "is not above 0")?;
        require(
            class.iter().all(|class| is_positive(class.priority_weight)),
            "class.worth",
            "is not above 0",
        )?;
        require(class.iter().all(|class| !class.work.is_zero()), "class.work", "is 0")?;
        require(
            class.iter().all(|class| {
                !class.latency_objective.is_zero() && class.latency_objective <= class.client_timeout
            }),
            "class.aim",
            "is 0, or longer than the patience",
        )?;
        require(kind.iter().all(|kind| is_positive(kind.speed)), "kind.speed", "is not above 0")?;
        require(
            kind.iter().all(|kind| kind.cores > 0 && kind.slots > 0),
            "kind.slots",
            "needs at least one core and one slot",
        )?;
        require(
            kind.iter().all(|kind| (0.0..1.0).contains(&kind.slowdown_per_request)),
            "kind.crowding",
            "is not from 0 to under 1",
        )?;
        let servers: usize = kind.iter().map(|kind| kind.servers).sum();
        require((1..=1000).contains(&servers), "kind.servers", "must be 1 to 1000 in total")?;
        require(
            contract.initial_capacity_share > 0.0 && contract.initial_capacity_share <= 1.0,
            "contract.cold_from",
            "must be above 0 and at most 1",
        )?;
        let zones: BTreeSet<&String> = zone.iter().map(|zone| &zone.name).collect();
        let kinds: BTreeSet<&String> = kind.iter().map(|kind| &kind.name).collect();
        let classes: BTreeSet<&String> = class.iter().map(|class| &class.name).collect();
        require(classes.len() == class.len(), "class.name", "is used twice")?;
        require(kinds.len() == kind.len(), "kind.name", "is used twice")?;
        require(zones.len() == zone.len(), "zone.name", "is used twice")?;
        require(load.zones.keys().all(|name| zones.contains(name)), "load.zones", "unknown zone")?;
        require(load.zones.values().all(|part| is_positive(*part)), "load.zones", "is not above 0")?;
        for (n, event) in self.event.iter().enumerate() {
            let key = |part: &str| format!("event[{n}].{part}");
            require(event.at < self.duration, &key("at"), "is after the end of the scenario")?;
            let is_upgrade = matches!(event.fault, Fault::Upgrade { .. });
            require(!is_upgrade || fleet.inherited, &key("upgrade"), "requires fleet.inherited = true")?;
            if let Fault::Loss { part, .. } | Fault::Duplicate { part, .. } | Fault::Reorder { part, .. } =
                &event.fault
            {
                require((0.0..=0.9).contains(part), &key("part"), "is not from 0 to 0.9")?;
            }
            if let Some(links) = event.fault.links() {
                let (needs_peers, forbids_peers) = match event.fault {
                    Fault::Duplicate { .. } | Fault::Reorder { .. } => (true, false),
                    Fault::Refuse { .. } | Fault::Reset { .. } => (false, true),
                    _ => (false, false),
                };
                require(
                    links.peers.is_some() || !needs_peers,
                    &key("links.peers"),
                    "is missing: this fault affects datagrams",
                )?;
                require(
                    links.peers.is_none() || !forbids_peers,
                    &key("links.peers"),
                    "is not allowed: this fault does not affect datagrams",
                )?;
                let has_membership = links.peers.is_none() || fleet.parts.contains_key("membership");
                require(has_membership, &key("links.peers"), "requires fleet.parts.membership")?;
            }
            let valid_share = event.when_served.is_none_or(|share| (0.0..=1.0).contains(&share));
            require(valid_share, &key("when_served"), "is not from 0 to 1")?;
            for (key_prefix, selector, selects_proxies) in event.fault.selectors() {
                let limit = if selects_proxies { fleet.proxies } else { servers };
                let numbers = selector.number.iter().flatten().all(|n| *n < limit);
                let in_zone = selector.zone.as_ref().is_none_or(|name| zones.contains(name));
                let of_kind = selector.kind.as_ref().is_none_or(|name| kinds.contains(name));
                let part = selector.part.is_none_or(|part| (0.0..=1.0).contains(&part));
                require(numbers, &key(&format!("{key_prefix}.number")), "no such index")?;
                require(in_zone, &key(&format!("{key_prefix}.zone")), "unknown zone")?;
                require(of_kind, &key(&format!("{key_prefix}.kind")), "unknown kind")?;
                require(part, &key(&format!("{key_prefix}.part")), "is not from 0 to 1")?;
            }
        }
        Ok(())
    }
}

impl Fault {
    /// The selectors of the fault: key, selector, and whether it selects client proxies.
    fn selectors(&self) -> Vec<(&'static str, &Selector, bool)> {
        match self {
            Fault::Kill { proxies, .. }
            | Fault::Stop { proxies, .. }
            | Fault::Roll { proxies, .. }
            | Fault::DiskFull { proxies, .. }
            | Fault::DiskGone { proxies, .. }
            | Fault::Upgrade { proxies } => vec![("proxies", proxies, true)],
            Fault::OperatorOverride { proxies, servers, .. } => {
                vec![("proxies", proxies, true), ("servers", servers, false)]
            }
            Fault::Silent { servers, .. }
            | Fault::Error { servers, .. }
            | Fault::Slow { servers, .. }
            | Fault::Pause { servers, .. }
            | Fault::Lose { servers, .. }
            | Fault::Drain { servers } => vec![("servers", servers, false)],
            _ => {
                let Some(LinkSet { proxies, servers, peers, .. }) = self.links() else { return Vec::new() };
                let other_end = match peers {
                    Some(peers) => ("links.peers", peers, true),
                    None => ("links.servers", servers, false),
                };
                vec![("links.proxies", proxies, true), other_end]
            }
        }
    }

    /// The selected links, if the fault affects links.
    fn links(&self) -> Option<&LinkSet> {
        match self {
            Fault::Cut { links, .. }
            | Fault::Delay { links, .. }
            | Fault::Loss { links, .. }
            | Fault::Duplicate { links, .. }
            | Fault::Reorder { links, .. }
            | Fault::Refuse { links, .. }
            | Fault::Reset { links } => Some(links),
            _ => None,
        }
    }
}
