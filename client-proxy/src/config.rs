//! Start-up configuration: the file that `$GW_CONFIG` names, and the environment variables that override it.

use std::net::SocketAddr;
use std::{env, fs};

use balancer::Settings;
use serde::Deserialize;
use simulator_adapter::{WireSettings, convert_settings};

use crate::config_error::ConfigError;
use crate::fleet_config::{FleetConfig, Relays};
use crate::logging::LogConfig;
use crate::names::Names;

/// Limit of open descriptors if the configuration sets none.
const DEFAULT_SOCKETS: usize = 1024;
/// Memory limit in MB if the configuration sets none: the smallest that a client proxy is given.
const DEFAULT_MEMORY_MB: usize = 32;
/// Discovery and the process's own descriptors would leave no room for clients below this limit.
const MIN_SOCKETS: usize = 64;

/// The complete, validated configuration.
pub struct Config {
    /// Name of this client proxy, used in log lines and in the name of the state file.
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Address on which operators connect; not opened if absent.
    pub admin: Option<SocketAddr>,
    /// Address of discovery or of the agent that forwards its updates.
    pub discovery: SocketAddr,
    /// Relays that are polled instead of `discovery`.
    pub relays: Option<Relays>,
    /// Seed of the random number generators; different at each start.
    pub seed: u64,
    /// Limit of open file descriptors.
    pub sockets: usize,
    /// Memory limit in bytes.
    pub memory: usize,
    /// The last known endpoint list in discovery's format; may be out of date.
    pub cached_list: Option<serde_json::Value>,
    /// Settings of the balancer.
    pub settings: Settings,
    /// Names, in the order of the numbers in `settings`.
    pub names: Names,
    /// Which events are logged.
    pub log: LogConfig,
    /// INFO also says why requests were refused, attempts ended and connections closed.
    pub has_metrics: bool,
}

/// Values from environment variables, which override those in the file.
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
    /// Reads the configuration file that `$GW_CONFIG` names, the variables that override it, and `$GW_FLEET`.
    ///
    /// # Errors
    /// The first invalid or missing variable or field.
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
        config.log = fleet.log();
        config.has_metrics = fleet.has_metrics();
        Ok(config)
    }

    /// Rereads the address of discovery from the configuration file, the only setting that may change while
    /// the process runs. `$GW_DISCOVERY` is ignored: the environment still has its value from startup.
    ///
    /// # Errors
    /// The invalid or missing field.
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
                &format!("{sockets} is too low, at least {MIN_SOCKETS} are required"),
            ));
        }
        let memory_mb = file.limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB as f64);
        if !(1.0..1e9).contains(&memory_mb) {
            return Err(invalid_field("limits.memory_mb", &format!("{memory_mb} is out of range")));
        }
        // Only the documented form is accepted: a fallback for other forms would give all processes the same
        // fixed seed.
        let seed = file.seed.ok_or_else(|| invalid_field("seed", "is missing"))?;
        let seed = u64::from_str_radix(&seed, 16)
            .map_err(|_| invalid_field("seed", "is not a hexadecimal number"))?;
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
            return Err(invalid_field("settings.classes", "streamed classes are not supported"));
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
            log: LogConfig::default(),
            has_metrics: false,
        })
    }
}

fn invalid_field(field: &str, problem: &str) -> ConfigError {
    ConfigError::Field { field: field.to_owned(), problem: problem.to_owned() }
}

/// Parses an address; the variable takes precedence over the file.
fn address(var: Option<String>, file: Option<String>, field: &str) -> Result<SocketAddr, ConfigError> {
    let text = var.or(file).ok_or_else(|| invalid_field(field, "is missing"))?;
    text.parse().map_err(|_| invalid_field(field, &format!("{text:?} is not an address and port")))
}
