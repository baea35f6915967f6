//! Faults of the links between client proxies and order servers, and among client proxies.

use std::time::Duration;

use rand_pcg::Pcg32;
use tokio::time::sleep;

use super::selection::Path;
use super::{Environment, directions};
use crate::datagrams::Lane;
use crate::link::Link;
use crate::scenario::LinkSet;

impl Environment {
    pub(super) async fn cut(&self, links: &LinkSet, lasts: Duration, rng: &mut Pcg32) {
        let ((forward, reverse), links) = (directions(links.way), self.selected_paths(links, rng));
        self.record_fault(format!("cut {} links", links.len()));
        links.iter().for_each(|link| link.set(forward, reverse, Link::cut, Lane::cut));
        sleep(lasts).await;
        self.record_fault(format!("{} links heal", links.len()));
        links.iter().for_each(|link| link.set(false, false, Link::cut, Lane::cut));
    }

    pub(super) async fn delay(&self, links: &LinkSet, by: Duration, lasts: Duration, rng: &mut Pcg32) {
        let ((forward, reverse), links) = (directions(links.way), self.selected_paths(links, rng));
        self.record_fault(format!("{} links slower by {by:?}", links.len()));
        let by = [forward, reverse].map(|affected| by * u32::from(affected));
        links.iter().for_each(|link| link.set(by[0], by[1], Link::slow, Lane::slow));
        sleep(lasts).await;
        let none = Duration::ZERO;
        links.iter().for_each(|link| link.set(none, none, Link::slow, Lane::slow));
    }

    pub(super) async fn lose_packets(&self, links: &LinkSet, part: f64, lasts: Duration, rng: &mut Pcg32) {
        let ((forward, reverse), links) = (directions(links.way), self.selected_paths(links, rng));
        self.record_fault(format!("{} links lose {part}", links.len()));
        let loss = |affected: bool| if affected { part } else { 0.0 };
        links.iter().for_each(|link| link.set(loss(forward), loss(reverse), Link::lose, Lane::lose));
        sleep(lasts).await;
        links.iter().for_each(|link| link.set(0.0, 0.0, Link::lose, Lane::lose));
    }

    pub(super) async fn duplicate(&self, links: &LinkSet, part: f64, lasts: Duration, rng: &mut Pcg32) {
        let (affected, links) = (directions(links.way), self.selected_paths(links, rng));
        self.record_fault(format!("{} links double {part}", links.len()));
        let lanes = || links.iter().flat_map(|link| link.lanes(affected));
        lanes().for_each(|lane| lane.double(part));
        sleep(lasts).await;
        lanes().for_each(|lane| lane.double(0.0));
    }

    pub(super) async fn reorder(
        &self,
        links: &LinkSet,
        part: f64,
        by: Duration,
        lasts: Duration,
        rng: &mut Pcg32,
    ) {
        let (affected, links) = (directions(links.way), self.selected_paths(links, rng));
        self.record_fault(format!("{} links put {part} out of order", links.len()));
        let lanes = || links.iter().flat_map(|link| link.lanes(affected));
        lanes().for_each(|lane| lane.reorder(part, by));
        sleep(lasts).await;
        lanes().for_each(|lane| lane.reorder(0.0, Duration::ZERO));
    }

    pub(super) async fn refuse(&self, links: &LinkSet, lasts: Duration, rng: &mut Pcg32) {
        let links = self.selected_paths(links, rng);
        self.record_fault(format!("{} links refuse", links.len()));
        links.iter().filter_map(Path::connections).for_each(|link| link.refuse(true));
        sleep(lasts).await;
        links.iter().filter_map(Path::connections).for_each(|link| link.refuse(false));
    }

    pub(super) fn reset(&self, links: &LinkSet, rng: &mut Pcg32) {
        let links = self.selected_paths(links, rng);
        self.record_fault(format!("reset {} links", links.len()));
        links.iter().filter_map(Path::connections).for_each(Link::reset);
    }
}
