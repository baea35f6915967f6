//! The relay's configuration: one TOML file, read at the start.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::{fs, io};

use serde::Deserialize;
use thiserror::Error;

/// Why the configuration is not usable. Each error is one line that names the file and the key.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// As given on the command line.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// A key is unknown, missing, malformed or out of range.
    #[error("{path}: {key}: {problem}")]
    Key {
        /// As given on the command line.
        path: PathBuf,
        /// The key with its table, or the line if the file is not valid TOML.
        key: String,
        /// What is wrong.
        problem: String,
    },
}

/// The configuration file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The address on which downstreams connect.
    pub listen: SocketAddr,
    /// Whether a request whose `Host` is an IP address gets the list of all services. Needed if other relays
    /// poll this one.
    #[serde(default, rename = "whole")]
    pub serves_full_list: bool,
    /// The maximum number of downstream connections.
    #[serde(default = "default_max_connections", rename = "connections")]
    pub max_connections: usize,
    /// Where the relay gets the list from.
    pub source: Source,
    /// The services of each scope, by the scope's name. A service on its own needs no entry.
    #[serde(default)]
    pub scopes: BTreeMap<String, Vec<String>>,
}

/// The table `[source]`: addresses of discovery, or of relays that serve the list of all services. All of
/// them must serve the same versions.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Source {
    /// Polled first.
    #[serde(default)]
    pub near: Vec<SocketAddr>,
    /// Polled if no near source responds.
    #[serde(default)]
    pub far: Vec<SocketAddr>,
}

fn default_max_connections() -> usize {
    4096
}

impl Config {
    /// Reads the file.
    ///
    /// # Errors
    /// If the file cannot be read or is not a valid configuration.
    pub fn read(path: &Path) -> Result<Config, ConfigError> {
        match fs::read_to_string(path) {
            Ok(text) => Config::parse(path, &text),
            Err(source) => Err(ConfigError::Unreadable { path: path.to_owned(), source }),
        }
    }

    fn parse(path: &Path, text: &str) -> Result<Config, ConfigError> {
        let key_error = |key: &str, problem: &str| ConfigError::Key {
            path: path.to_owned(),
            key: key.to_owned(),
            problem: problem.to_owned(),
        };
        let config: Config = toml::from_str(text).map_err(|error| {
            let before = error.span().map_or("", |span| &text[..span.start]);
            key_error(&format!("line {}", before.matches('\n').count() + 1), error.message())
        })?;
        if config.source.near.is_empty() && config.source.far.is_empty() {
            return Err(key_error("source.near", "no source address given"));
        }
        if config.max_connections == 0 {
            return Err(key_error("connections", "must not be 0"));
        }
        if let Some((name, _)) = config.scopes.iter().find(|(_, services)| services.is_empty()) {
            return Err(key_error(&format!("scopes.{name}"), "lists no services"));
        }
        Ok(config)
    }
}

#[cfg(test)]
mod tests;
