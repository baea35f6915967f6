//! Addresses and configuration of a client proxy process.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use serde_json::{Value, json};

use super::PORT;
use crate::datagrams::Datagrams;
use crate::scenario::{Scenario, Scope, Semantics};

/// Port for peers, which reach it through the testbed's simulated datagram network.
const PEER_PORT: u16 = 4900;

/// Loopback address of a client proxy. It depends on the testbed's process id, so that concurrent runs don't
/// collide.
pub(super) fn address(number: usize) -> SocketAddr {
    let process = std::process::id();
    let [_, _, high, low] = process.to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, 64 | (high & 63), low, 1 + number as u8), PORT))
}

/// The configuration that the platform gives a client proxy (`config.json`).
pub(super) fn config(scenario: &Scenario, number: usize, discovery: SocketAddr, seed: u64) -> Value {
    let ms = |time: Duration| time.as_secs_f64() * 1e3;
    let semantics = |semantics| match semantics {
        Semantics::Safe => "safe",
        Semantics::Keyed => "keyed",
        Semantics::Unsafe => "unsafe",
    };
    let scope = |scope| match scope {
        Scope::All => "all",
        Scope::Zone => "zone",
        Scope::Cell => "cell",
    };
    let class = |c: &crate::scenario::Class| {
        json!({"name": c.name, "aim": ms(c.latency_objective), "hardLimit": ms(c.client_timeout),
               "semantics": semantics(c.semantics),
               "keyScope": scope(c.scope), "keyTtl": ms(c.key_ttl), "lateWorth": 0.0,
               "points": c.priority_weight, "streamed": false})
    };
    let Scenario { fleet, contract, .. } = scenario;
    let zones: Vec<&String> = scenario.zone.iter().map(|zone| &zone.name).collect();
    json!({
        "name": format!("n{number}"), "listen": address(number).to_string(),
        "discovery": discovery.to_string(),
        "seed": format!("{:x}", seed.wrapping_mul(1_000_003) + number as u64),
        "limits": {"cores": fleet.cores, "memory_mb": fleet.memory_mb, "sockets": fleet.sockets},
        "settings": {
            "me": number, "balancers": fleet.proxies,
            "callers": {"marksRetry": scenario.load.sends_resent_header},
            "classes": scenario.class.iter().map(class).collect::<Vec<_>>(),
            "contract": {"cold": ms(contract.warm_up_duration), "coldFrom": contract.initial_capacity_share,
                         "drainGrace": ms(contract.drain_grace), "fall": ms(contract.overload_window),
                         "fallMultiple": contract.overload_multiple, "graceToAnswer": 16.0},
            "customers": [], "discovery": "automatic",
            "kinds": scenario.kind.iter().map(|kind| &kind.name).collect::<Vec<_>>(),
            "zones": zones, "zone": number % zones.len(), "tick": 4.0,
            "limits": {"attemptsCap": 3, "cancelling": true, "connIdle": 10000.0, "dialTimeout": 100.0,
                       "maxRetryAfter": 1200.0, "retryAfter": true, "secondCopies": false},
            "report": {"fields": ["utilization"], "how": "answers"}
        }
    })
}

/// The address on which a client proxy binds its socket for peers.
pub fn peer_address(number: usize) -> SocketAddr {
    SocketAddr::new(address(number).ip(), PEER_PORT)
}

/// The second configuration file of a client proxy (`fleet.toml`).
pub(super) fn fleet_file(
    scenario: &Scenario,
    number: usize,
    peers: Option<&Datagrams>,
) -> io::Result<toml::Table> {
    let mut parts = scenario.fleet.parts.clone();
    if let Some(toml::Value::Table(zones)) = parts.get_mut("zones") {
        let own = &scenario.zone[number % scenario.zone.len()].name;
        zones.entry("own").or_insert_with(|| own.clone().into());
    }
    if let (Some(toml::Value::Table(membership)), Some(peers)) = (parts.get_mut("membership"), peers) {
        let others = (0..scenario.fleet.proxies).filter(|other| *other != number);
        let seeds: io::Result<Vec<toml::Value>> =
            others.map(|other| Ok(peers.address(other)?.to_string().into())).collect();
        let own = peers.address(number)?.to_string();
        let own_settings: [(&str, toml::Value); 3] = [
            ("listen", peer_address(number).to_string().into()),
            ("advertise", own.into()),
            ("seeds", seeds?.into()),
        ];
        for (key, value) in own_settings {
            membership.entry(key).or_insert(value);
        }
    }
    Ok(parts)
}
