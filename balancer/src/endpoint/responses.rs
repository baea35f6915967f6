//! Statistics of one endpoint's responses, and of attempts without one.

use crate::decaying_mean::DecayingMean;
use crate::interface::Millis;

/// See the module documentation.
pub(crate) struct ResponseHistory {
    /// Latency as a multiple of the expected latency of the request.
    pub(crate) relative_latency: DecayingMean,
    /// By class: 1 for each attempt whose response was lost, which means that attempts sent later got theirs;
    /// 0 for each response.
    pub(crate) losses: Vec<DecayingMean>,
    /// By class: the estimated fraction of responses that are lost at present, 0 to 1.
    pub(crate) loss_rates: Vec<f64>,
    /// Send time of the latest attempt that got a response.
    pub(crate) last_responded_sent_at: Millis,
    /// When an attempt last failed; a time-out counts from when the attempt was sent.
    pub(crate) last_failure_at: Millis,
    /// When an attempt last got a response.
    pub(crate) last_response_at: Millis,
}

impl ResponseHistory {
    /// An empty history for this number of classes.
    pub(crate) fn new(classes: usize) -> ResponseHistory {
        ResponseHistory {
            relative_latency: DecayingMean::default(),
            losses: vec![DecayingMean::default(); classes],
            loss_rates: vec![0.0; classes],
            last_responded_sent_at: f64::NEG_INFINITY,
            last_failure_at: f64::NEG_INFINITY,
            last_response_at: f64::NEG_INFINITY,
        }
    }

    /// Multiplies the weight of past observations by `factor`.
    pub(crate) fn decay(&mut self, factor: f64) {
        self.relative_latency.decay(factor);
        self.losses.iter_mut().for_each(|loss| loss.decay(factor));
    }

    /// Whether an attempt that was sent after `sent_at` got a response. An attempt sent at `sent_at` that is
    /// still in flight is then not waiting in the endpoint's queue.
    pub(crate) fn is_overtaken(&self, sent_at: Millis) -> bool {
        self.last_responded_sent_at > sent_at
    }

    /// Records whether the response to an attempt was lost. About the last `max_attempts` attempts of the
    /// class determine the mean.
    pub(crate) fn add_loss(&mut self, class: usize, is_lost: bool, max_attempts: f64) {
        let mean = &mut self.losses[class];
        mean.add(f64::from(u8::from(is_lost)));
        mean.decay((max_attempts / mean.weight).min(1.0));
    }
}
