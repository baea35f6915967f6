//! The second configuration file, TOML, which `$GW_FLEET` names: one table for each feature that the
//! platform's own file has no settings for. A feature whose table is absent is off. Without the variable all
//! of them are off and no file is read.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::{env, fs};

use balancer::{Locality, Settings};
use hyper::http::uri::Authority;
use serde::Deserialize;

use crate::config_error::ConfigError;
use crate::logging::LogConfig;
use crate::names::Names;

/// The tables of the file.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetConfig {
    /// `[zones]`: which zones are near each other.
    zones: Option<Zones>,
    /// `[discovery]`: relays between discovery and this client proxy.
    discovery: Option<Relays>,
    /// `[log]`: which events are logged.
    log: Option<LogConfig>,
    /// `[metrics]`: more metrics for operators.
    metrics: Option<Metrics>,
}

/// `[discovery]`: relays that are polled instead of the address that the platform configures. See
/// docs/relays.md.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Relays {
    /// Relays to try first, one after another.
    pub near: Vec<SocketAddr>,
    /// Relays to try if no near one responds.
    #[serde(default)]
    pub far: Vec<SocketAddr>,
    /// Authority of each poll; selects the endpoint list.
    pub authority: String,
}

/// `[metrics]`: INFO also says why requests were refused, attempts ended and connections closed, and what memory is
/// used.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Metrics {
    reasons: bool,
}

/// `[zones]`: the zones and their regions.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Zones {
    /// Zone of this client proxy. If absent, no zone is nearer than another.
    own: Option<String>,
    /// Region of each zone, by zone name.
    regions: BTreeMap<String, String>,
}

impl FleetConfig {
    /// Reads the file that `$GW_FLEET` names; returns the default, all features off, if the variable is not
    /// set.
    ///
    /// # Errors
    /// The file, with the invalid key or its line and the reason.
    pub fn from_env() -> Result<FleetConfig, ConfigError> {
        match env::var("GW_FLEET").ok().filter(|path| !path.is_empty()) {
            None => Ok(FleetConfig::default()),
            Some(path) => match fs::read_to_string(&path) {
                Ok(text) => FleetConfig::read(&path, &text),
                Err(source) => Err(ConfigError::Unreadable { variable: "GW_FLEET", path, source }),
            },
        }
    }

    fn read(path: &str, text: &str) -> Result<FleetConfig, ConfigError> {
        let config: Result<FleetConfig, _> = toml::from_str(text);
        let invalid = |key: &str, problem: &str| ConfigError::FleetKey {
            path: path.to_owned(),
            key: key.to_owned(),
            problem: problem.to_owned(),
        };
        let config = config.map_err(|error| {
            let before = error.span().map_or("", |span| &text[..span.start]);
            invalid(&format!("line {}", before.matches('\n').count() + 1), error.message())
        })?;
        if let Some(Zones { own, regions }) = &config.zones {
            if regions.is_empty() {
                return Err(invalid("zones.regions", "lists no zone"));
            }
            if own.as_ref().is_some_and(|own| !regions.contains_key(own)) {
                return Err(invalid("zones.own", "is not listed in zones.regions"));
            }
        }
        if let Some(Relays { near, authority, .. }) = &config.discovery {
            if near.is_empty() {
                return Err(invalid("discovery.near", "lists no relay"));
            }
            if authority.parse::<Authority>().is_err() {
                return Err(invalid("discovery.authority", "is not a valid authority"));
            }
        }
        Ok(config)
    }

    /// The relays to poll, if any are configured.
    pub fn relays(&self) -> Option<&Relays> {
        self.discovery.as_ref()
    }

    /// Which events are logged.
    pub fn log(&self) -> LogConfig {
        self.log.unwrap_or_default()
    }

    /// Whether INFO includes reasons.
    pub fn has_metrics(&self) -> bool {
        self.metrics.as_ref().is_some_and(|metrics| metrics.reasons)
    }

    /// Applies the tables to the settings and names. A zone that `zones.regions` does not list belongs to a
    /// region of its own. One more zone number is added for all endpoints whose zone has no known name.
    pub fn apply(&self, settings: &mut Settings, names: &mut Names) {
        let Some(Zones { own, regions }) = &self.zones else { return };
        let new = regions.keys().filter(|zone| !names.zones.contains(zone)).cloned();
        let new: Vec<String> = new.collect();
        names.zones.extend(new);
        let number = |name: &String| regions.values().position(|region| region == name);
        let region = |(n, zone): (usize, &String)| {
            let known = regions.get(zone).and_then(number);
            // Beyond the numbers of all listed regions, so that the zone has a region of its own.
            known.unwrap_or(regions.len() + n)
        };
        let mut by_zone: Vec<usize> = names.zones.iter().enumerate().map(region).collect();
        by_zone.push(usize::MAX);
        let own = own.as_ref().and_then(|own| names.zones.iter().position(|zone| zone == own));
        settings.zone_count = by_zone.len();
        settings.zone = own.unwrap_or(settings.zone);
        settings.locality = Some(Locality { own_zone: own, regions: by_zone });
    }
}

#[cfg(test)]
mod tests;
