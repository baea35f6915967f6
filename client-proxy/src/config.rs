//! What this client proxy is told at its start: `$GW_CONFIG`, and the variables that stand above it.

use std::net::SocketAddr;
use std::{env, fs};

use balancer::Settings;
use serde::Deserialize;
use simulator_adapter::{WireSettings, convert_settings};

use crate::config_error::ConfigError;
use crate::fleet_config::{FleetConfig, Relays};
use crate::names::Names;

/// What a process may hold where the configuration does not say.
const DEFAULT_SOCKETS: usize = 1024;
/// And what memory, in MB: the least that a client proxy is given.
const DEFAULT_MEMORY_MB: usize = 32;
/// Fewer descriptors than this leave no room for clients beside discovery and the process's own.
const MIN_SOCKETS: usize = 64;

/// All of the configuration, checked.
pub struct Config {
    /// The name of this client proxy, for the log.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators connect; without it there is no such address.
    pub admin: Option<SocketAddr>,
    /// Where discovery is, or the agent that passes on its news.
    pub discovery: SocketAddr,
    /// Relays that are asked in its place, if there are any.
    pub relays: Option<Relays>,
    /// For random numbers; new with each start.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Memory that the process may use, in bytes.
    pub memory: usize,
    /// The list of endpoints as this client proxy last had it, in discovery's form; may be old.
    pub cached_list: Option<serde_json::Value>,
    /// What the decisions work with.
    pub settings: Settings,
    /// Names, in the order of the settings' numbers.
    pub names: Names,
}

/// The variables that stand above the file.
struct EnvOverrides {
    name: Option<String>,
    listen: Option<String>,
    admin: Option<String>,
    discovery: Option<String>,
}

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    listen: Option<String>,
    admin_addr: Option<String>,
    discovery: Option<String>,
    seed: Option<String>,
    #[serde(default)]
    limits: FileLimits,
    known: Option<serde_json::Value>,
    settings: WireSettings,
}

#[derive(Default, Deserialize)]
struct FileLimits {
    sockets: Option<usize>,
    memory_mb: Option<f64>,
}

impl Config {
    /// Reads the configuration that the environment points to.
    ///
    /// # Errors
    /// Names the first variable or field at fault.
    pub fn from_env() -> Result<Config, ConfigError> {
        let text = Config::read_file()?;
        let var = |name| env::var(name).ok().filter(|value| !value.is_empty());
        let overrides = EnvOverrides {
            name: var("GW_NAME"),
            listen: var("GW_LISTEN"),
            admin: var("GW_ADMIN_ADDR"),
            discovery: var("GW_DISCOVERY"),
        };
        let fleet = FleetConfig::from_env()?;
        let mut config = Config::new(&text, overrides)?;
        fleet.apply(&mut config.settings, &mut config.names);
        config.relays = fleet.relays().cloned();
        Ok(config)
    }

    /// Where discovery is by the file as it is now; that alone may change while the program runs. The
    /// variables still say what they said at the start, so they do not count.
    ///
    /// # Errors
    /// Names the field at fault.
    pub fn reread_discovery() -> Result<SocketAddr, ConfigError> {
        #[derive(Deserialize)]
        struct DiscoveryField {
            discovery: Option<String>,
        }
        let parsed: DiscoveryField = serde_json::from_slice(&Config::read_file()?)
            .map_err(|error| invalid_field("discovery", &error.to_string()))?;
        address(None, parsed.discovery, "discovery")
    }

    fn read_file() -> Result<Vec<u8>, ConfigError> {
        let path = env::var("GW_CONFIG").map_err(|_| ConfigError::Unset("GW_CONFIG"))?;
        fs::read(&path).map_err(|source| ConfigError::Unreadable { variable: "GW_CONFIG", path, source })
    }

    fn new(text: &[u8], overrides: EnvOverrides) -> Result<Config, ConfigError> {
        let mut json = serde_json::Deserializer::from_slice(text);
        let file: File = serde_path_to_error::deserialize(&mut json)
            .map_err(|error| invalid_field(&error.path().to_string(), &error.inner().to_string()))?;
        let sockets = file.limits.sockets.unwrap_or(DEFAULT_SOCKETS);
        if sockets < MIN_SOCKETS {
            return Err(invalid_field(
                "limits.sockets",
                &format!("{sockets} are too few, {MIN_SOCKETS} are needed"),
            ));
        }
        let memory_mb = file.limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB as f64);
        if !(1.0..1e9).contains(&memory_mb) {
            return Err(invalid_field("limits.memory_mb", &format!("{memory_mb} is no memory to work in")));
        }
        // A seed in another form than the documented one must not pass for some fixed number.
        let seed = file.seed.ok_or_else(|| invalid_field("seed", "is missing"))?;
        let seed = u64::from_str_radix(&seed, 16).map_err(|_| invalid_field("seed", "is not hex digits"))?;
        let names = Names {
            classes: file.settings.classes.iter().map(|class| class.name.clone()).collect(),
            tenants: file.settings.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
            zones: file.settings.zones.clone(),
            kinds: file.settings.kinds.clone(),
        };
        if let Some(i) = names.classes.iter().position(String::is_empty) {
            return Err(invalid_field(&format!("settings.classes[{i}].name"), "is missing"));
        }
        let settings = convert_settings(file.settings);
        settings.validate()?;
        if settings.classes.iter().any(|class| class.streamed) {
            return Err(invalid_field("settings.classes", "streamed classes are not served by this program"));
        }
        let admin = overrides.admin.or(file.admin_addr).map(|text| address(Some(text), None, "admin_addr"));
        Ok(Config {
            name: overrides.name.unwrap_or(file.name),
            listen: address(overrides.listen, file.listen, "listen")?,
            admin: admin.transpose()?,
            discovery: address(overrides.discovery, file.discovery, "discovery")?,
            relays: None,
            seed,
            sockets,
            memory: (memory_mb * 1e6) as usize,
            cached_list: file.known,
            settings,
            names,
        })
    }
}

fn invalid_field(field: &str, problem: &str) -> ConfigError {
    ConfigError::Field { field: field.to_owned(), problem: problem.to_owned() }
}

/// The variable stands above the file.
fn address(var: Option<String>, file: Option<String>, field: &str) -> Result<SocketAddr, ConfigError> {
    let text = var.or(file).ok_or_else(|| invalid_field(field, "is missing"))?;
    text.parse().map_err(|_| invalid_field(field, &format!("{text:?} is not an address and port")))
}
