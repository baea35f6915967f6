//! State of a zone.

use crate::decaying_mean::DecayingMean;
use crate::interface::{EjectedZone, Locality, Millis};

/// State of a zone as a whole.
pub(crate) struct Zone {
    /// Proximity: 0 for the own zone, 1 for others in its region, 2 for all others. If the own zone is not
    /// known, all zones are 0.
    pub(crate) tier: usize,
    /// Traffic weight, the probability that a request may use the zone: 1 normally, 0 while it is ejected,
    /// and in between while its traffic ramps up after an ejection.
    pub(crate) weight: f64,
    /// Set while the zone is ejected.
    pub(crate) ejection: Option<EjectedZone>,
    /// When the latest ejection allows a trial request.
    pub(crate) ejected_until: Millis,
    /// Recent ejections in a row.
    pub(crate) ejections: u32,
    /// Endpoints in the zone that are up.
    pub(crate) endpoint_count: usize,
    /// When an endpoint of the zone last responded.
    pub(crate) last_response_at: Millis,
    /// Number of responses, decayed over `RATE_TIME_CONSTANT`.
    pub(crate) recent_responses: f64,
    /// Latency of responses from the zone as a fraction of the latency objective, at most 1.
    pub(crate) overload: DecayingMean,
    /// The minimum by which latency from the zone exceeded the expected latency of the request; infinite
    /// before the first response.
    pub(crate) min_extra_latency: Millis,
}

impl Zone {
    /// A zone in use, without any observations.
    pub(crate) fn new(tier: usize) -> Zone {
        let (last_response_at, overload, min_extra_latency) =
            (f64::NEG_INFINITY, DecayingMean::default(), f64::INFINITY);
        let (ejected_until, ejections, endpoint_count, recent_responses) = (f64::NEG_INFINITY, 0, 0, 0.0);
        Zone {
            tier,
            weight: 1.0,
            ejection: None,
            ejected_until,
            ejections,
            endpoint_count,
            last_response_at,
            recent_responses,
            overload,
            min_extra_latency,
        }
    }

    /// One for each zone of the settings.
    pub(crate) fn for_locality(locality: &Locality) -> Vec<Zone> {
        let own_region = locality.own_zone.map(|own| locality.regions[own]);
        let tier = |(zone, region): (usize, &usize)| match locality.own_zone {
            None => 0,
            Some(own) if own == zone => 0,
            _ if Some(*region) == own_region => 1,
            _ => 2,
        };
        locality.regions.iter().enumerate().map(|zone| Zone::new(tier(zone))).collect()
    }

    /// Updates the minimum of the extra latency. A measurement above the minimum raises it by the fraction
    /// `rise` of the difference, so that it follows a path that became slower.
    pub(crate) fn record_extra_latency(&mut self, extra_latency: Millis, rise: f64) {
        let raised = self.min_extra_latency + rise * (extra_latency - self.min_extra_latency);
        self.min_extra_latency = if extra_latency < self.min_extra_latency { extra_latency } else { raised };
    }

    /// Multiplies the weight of past observations by these factors.
    pub(crate) fn decay(&mut self, overload_factor: f64, rate_factor: f64) {
        self.overload.decay(overload_factor);
        self.recent_responses *= rate_factor;
    }

    /// Ejects the zone: it receives nothing for `duration`, and after that only trial requests until its
    /// endpoints respond.
    pub(crate) fn eject(&mut self, now: Millis, duration: Millis, ejection: EjectedZone) {
        let ejection = EjectedZone { ejected_at: now, own_network_suspected: false, ..ejection };
        (self.weight, self.ejection) = (0.0, Some(self.ejection.unwrap_or(ejection)));
        (self.ejected_until, self.ejections) = (now + duration, self.ejections + 1);
    }
}
