//! What is remembered of a zone.

use crate::decaying_mean::DecayingMean;
use crate::interface::{EjectedZone, Locality, Millis};

/// What is known of a zone as one.
pub(crate) struct Zone {
    /// How near it is: 0 the own one, 1 others of its region, 2 all else.
    pub(crate) tier: usize,
    /// The chance that a request that could go there may: 1, or less while it returns, or 0 while it is left.
    pub(crate) open: f64,
    pub(crate) left: Option<EjectedZone>,
    /// Until when it is left alone, and how often it was left lately.
    pub(crate) rest_until: Millis,
    pub(crate) rests: u32,
    /// Endpoints that it has by the list.
    pub(crate) endpoints: usize,
    /// When any endpoint there last answered anything, and answers lately.
    pub(crate) last_response_at: Millis,
    pub(crate) answers: f64,
    /// Latency over latency objective, at most 1, of what was answered there.
    pub(crate) overload: DecayingMean,
    /// The least by which latency there exceeds what such a request usually takes; infinite before the first.
    pub(crate) least: Millis,
}

impl Zone {
    /// In use, with nothing known of it.
    pub(crate) fn new(tier: usize) -> Zone {
        let (last_response_at, overload, least) = (f64::NEG_INFINITY, DecayingMean::default(), f64::INFINITY);
        let (rest_until, rests, endpoints, answers) = (f64::NEG_INFINITY, 0, 0, 0.0);
        Zone {
            tier,
            open: 1.0,
            left: None,
            rest_until,
            rests,
            endpoints,
            last_response_at,
            answers,
            overload,
            least,
        }
    }

    /// One for each zone, by how near they are.
    pub(crate) fn all(locality: &Locality) -> Vec<Zone> {
        let region = locality.own_zone.map(|own| locality.regions[own]);
        let tier = |(zone, of): (usize, &usize)| match locality.own_zone {
            None => 0,
            Some(own) if own == zone => 0,
            _ if Some(*of) == region => 1,
            _ => 2,
        };
        locality.regions.iter().enumerate().map(|zone| Zone::new(tier(zone))).collect()
    }

    /// Takes in that the way there took `beyond` more than usual; what is more than the least raises it by
    /// `rise` of that.
    pub(crate) fn measure(&mut self, beyond: Millis, rise: f64) {
        let raised = self.least + rise * (beyond - self.least);
        self.least = if beyond < self.least { beyond } else { raised };
    }

    /// Keeps so much of its overload, and of what was seen over the memory of rates.
    pub(crate) fn fade(&mut self, overload: f64, rate: f64) {
        self.overload.fade(overload);
        self.answers *= rate;
    }

    /// Gets nothing from now on, until it has rested for so long and a trial was answered.
    pub(crate) fn leave(&mut self, now: Millis, rest: Millis, left: EjectedZone) {
        let left = EjectedZone { ejected_at: now, own_network_suspected: false, ..left };
        (self.open, self.left) = (0.0, Some(self.left.unwrap_or(left)));
        (self.rest_until, self.rests) = (now + rest, self.rests + 1);
    }
}
