//! Names of the classes, tenants, zones and kinds that the settings refer to by number.

/// Names by number, as the settings use them.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Request classes.
    pub classes: Vec<String>,
    /// Tenants; may be empty.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of endpoints.
    pub kinds: Vec<String>,
}
