//! Validation of the settings.

use super::{Class, Contract, Effect, Limits, Locality, ObjectiveWeights, Prices, Settings, SettingsError};

impl Settings {
    /// Checks that all settings are valid.
    ///
    /// # Errors
    ///
    /// Returns the first field that is missing, out of range, negative or not finite.
    pub fn validate(&self) -> Result<(), SettingsError> {
        self.validate_counts()?;
        self.validate_locality()?;
        for (field, value) in self.numeric_fields() {
            if !value.is_finite() || value < 0.0 {
                return Err(SettingsError::new(field, "is negative or not finite"));
            }
        }
        for (i, class) in self.classes.iter().enumerate() {
            if class.latency_objective == 0.0 || class.deadline == 0.0 {
                return Err(SettingsError::new(format!("classes[{i}]"), "has no time to be answered in"));
            }
        }
        Ok(())
    }

    fn validate_counts(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::new("classes", "names no class"));
        }
        if self.zone >= self.zone_count {
            return Err(SettingsError::new("zone", "is not among the zones"));
        }
        let counts = [
            ("balancers", self.balancer_count),
            ("limits.attempts", self.limits.max_attempts),
            ("limits.streams", self.limits.streams_per_connection),
        ];
        let zero = counts.into_iter().find(|(_, count)| *count == 0);
        zero.map_or(Ok(()), |(field, _)| Err(SettingsError::new(field, "is 0")))
    }

    fn validate_locality(&self) -> Result<(), SettingsError> {
        let Some(Locality { own_zone, regions }) = &self.locality else { return Ok(()) };
        if regions.len() != self.zone_count {
            return Err(SettingsError::new("locality.regions", "are not as many as the zones"));
        }
        if own_zone.is_some_and(|own| own >= self.zone_count) {
            return Err(SettingsError::new("locality.own", "is not among the zones"));
        }
        Ok(())
    }

    /// All numeric settings, which must be finite and not negative, with their paths. The paths are part of
    /// error messages and do not follow the names of the fields.
    fn numeric_fields(&self) -> Vec<(String, f64)> {
        let mut fields = vec![
            ("tick".to_owned(), self.timer_resolution),
            ("over_share_worth".to_owned(), self.over_quota_weight),
        ];
        fields.extend(self.limits.numeric_fields());
        fields.extend(self.contract.numeric_fields());
        fields.extend(self.prices.numeric_fields());
        fields.extend(self.objective_weights.numeric_fields());
        for (i, class) in self.classes.iter().enumerate() {
            fields.extend(
                class.numeric_fields().map(|(field, value)| (format!("classes[{i}].{field}"), value)),
            );
            if let Effect::Keyed { ttl, .. } = class.effect {
                fields.push((format!("classes[{i}].effect.ttl"), ttl));
            }
        }
        for (i, tenant) in self.tenants.iter().enumerate() {
            fields.push((format!("tenants[{i}].portion"), tenant.service_share));
            fields.push((format!("tenants[{i}].quota_per_s"), tenant.quota_per_s));
        }
        fields
    }
}

impl Class {
    fn numeric_fields(&self) -> [(&'static str, f64); 5] {
        [
            ("aim", self.latency_objective),
            ("aim_stretch", self.objective_stretch),
            ("deadline", self.deadline),
            ("worth", self.priority_weight),
            ("late_worth", self.late_priority_weight),
        ]
    }
}

impl Limits {
    fn numeric_fields(&self) -> impl Iterator<Item = (String, f64)> {
        let fields = [
            ("max_retry_after", self.max_retry_after),
            ("dial_timeout", self.connect_timeout),
            ("conn_idle", self.connection_idle_timeout),
            ("cpu_us_per_s", self.cpu_us_per_s),
            ("cpu_us_per_request", self.cpu_us_per_request.unwrap_or(0.0)),
        ];
        fields.into_iter().map(|(field, value)| (format!("limits.{field}"), value))
    }
}

impl Contract {
    fn numeric_fields(&self) -> impl Iterator<Item = (String, f64)> {
        let fields = [
            ("grace_to_answer", self.response_grace),
            ("drain_grace", self.drain_grace),
            ("cold_from", self.initial_capacity),
            ("cold", self.warm_up),
            ("fall_multiple", self.overload_multiple),
            ("fall", self.overload_window),
            ("ask_within", self.max_notification_delay.unwrap_or(0.0)),
        ];
        fields.into_iter().map(|(field, value)| (format!("contract.{field}"), value))
    }
}

impl Prices {
    fn numeric_fields(&self) -> impl Iterator<Item = (String, f64)> {
        let fields = [
            ("cross_zone", self.cross_zone),
            ("waste", self.waste),
            ("late_fail", self.late_failure),
            ("handshake", self.handshake),
            ("connection", self.connection),
            ("discovery", self.discovery),
            ("probe", self.probe),
            ("peer", self.peer_message),
        ];
        fields.into_iter().map(|(field, value)| (format!("prices.{field}"), value))
    }
}

impl ObjectiveWeights {
    fn numeric_fields(&self) -> impl Iterator<Item = (String, f64)> {
        let fields = [
            ("whole", self.overall),
            ("worst_window", self.worst_window),
            ("worst_class", self.worst_class),
            ("worst_tenant", self.worst_tenant),
        ];
        fields.into_iter().map(|(field, value)| (format!("goal.{field}"), value))
    }
}
