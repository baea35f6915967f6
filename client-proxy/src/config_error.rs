//! Errors in the configuration.

use std::io;

use balancer::SettingsError;
use thiserror::Error;

/// Why the program cannot start. Each displays as one line that names the variable or field.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A required variable is not set.
    #[error("{0} is not set")]
    Unset(&'static str),
    /// A configuration file cannot be read.
    #[error("{variable}: {path}: {source}")]
    Unreadable {
        /// Variable that names the file.
        variable: &'static str,
        /// Path in that variable.
        path: String,
        /// Error of the system call.
        source: io::Error,
    },
    /// A field of the `$GW_CONFIG` file is missing or invalid.
    #[error("GW_CONFIG: {field}: {problem}")]
    Field {
        /// Path of the field, such as `settings.limits.attemptsCap`.
        field: String,
        /// What is wrong with it.
        problem: String,
    },
    /// A key of the `$GW_FLEET` file is unknown or invalid.
    #[error("GW_FLEET: {path}: {key}: {problem}")]
    FleetKey {
        /// Path of the file.
        path: String,
        /// Table and key, or the line number.
        key: String,
        /// What is wrong with it.
        problem: String,
    },
    /// The balancer rejects the settings.
    #[error("GW_CONFIG: {0}")]
    Settings(#[from] SettingsError),
}
