//! Whom the calls go to: discovery where the platform says that it is, or one of several relays.

use std::net::SocketAddr;
use std::time::Duration;

use discovery_proto::{Fallback, Sources};
use hyper::header::HeaderValue;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::fleet_config::Relays;

/// Whom the calls go to.
pub struct SourceSelector {
    /// Where discovery is; another address after each reload that names one.
    address: watch::Receiver<SocketAddr>,
    /// In its place, if there are any.
    relays: Option<(Sources, HeaderValue)>,
    rng: Pcg32,
    started_at: Instant,
}

impl SourceSelector {
    /// Discovery where `address` has it, or `relays`.
    pub fn new(address: watch::Receiver<SocketAddr>, relays: Option<Relays>, seed: u64) -> SourceSelector {
        // Apart from the draws of the decisions and of discovery's own pauses.
        let mut rng = Pcg32::seed_from_u64(!seed);
        let relays = relays.and_then(|Relays { near, far, authority }| {
            Some((Sources::new(&near, &far, &mut rng)?, HeaderValue::from_str(&authority).ok()?))
        });
        SourceSelector { address, relays, rng, started_at: Instant::now() }
    }

    /// Whether the next call goes elsewhere than the last one; asked before each.
    pub fn has_moved(&mut self) -> bool {
        match &mut self.relays {
            Some((sources, _)) => sources.fail_back(self.started_at.elapsed(), &mut self.rng),
            None => self.address.has_changed().unwrap_or(false),
        }
    }

    /// Where the next call goes, and whose list it asks for.
    pub fn next_source(&mut self) -> (SocketAddr, HeaderValue) {
        let address = *self.address.borrow_and_update();
        match &self.relays {
            Some((sources, authority)) => (sources.address(), authority.clone()),
            None => {
                let endpoint = address.to_string().parse();
                (address, endpoint.expect("an address is a header value"))
            }
        }
    }

    /// Ready when discovery is said to be elsewhere; never, where relays are asked.
    pub async fn wait_for_move(&mut self) {
        if self.relays.is_some() || self.address.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
        self.address.mark_changed();
    }

    /// The last call was answered.
    pub fn record_success(&mut self) {
        if let Some((sources, _)) = &mut self.relays {
            sources.on_response();
        }
    }

    /// The last call failed: after how long the same is to be asked of another relay, if one is left.
    pub fn record_failure(&mut self) -> Option<Duration> {
        let (sources, _) = self.relays.as_mut()?;
        match sources.on_failure(self.started_at.elapsed(), &mut self.rng) {
            Fallback::NextSource(backoff) => Some(backoff),
            Fallback::AllFailed => None,
        }
    }

    /// Whether all ask the same discovery, so that calls queue there if they have to be made one by one.
    pub fn is_shared(&self) -> bool {
        self.relays.is_none()
    }
}
