//! What a run comes to: the figures of its report.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use super::{BASELINE_SECONDS, Ending, Ledger, RECOVERED_SHARE, RULES, Record, Request, microseconds};
use crate::station::Seconds;

/// Served requests among some of all requests, such as those of one class.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServedStats {
    /// Number of requests after the warm-up, retries not counted.
    pub requests: usize,
    /// Share of them that was served, by the first try or a retry.
    pub served_share: f64,
}

impl ServedStats {
    fn add(&mut self, served: bool) {
        let sum = self.served_share * self.requests as f64 + f64::from(u8::from(served));
        self.requests += 1;
        self.served_share = sum / self.requests as f64;
    }
}

/// One second of a run; requests belong to the second in which they were scheduled to be sent.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Second {
    /// Seconds since the start of the load.
    pub at: usize,
    /// Requests, retries not counted.
    pub asked: usize,
    /// Requests that were served, by the first try or a retry.
    pub served: usize,
    /// Requests whose last try was rejected with 429 or 503.
    pub refused: usize,
    /// All other requests.
    pub failed: usize,
    /// Share of the requests' priority weight that was served within the latency objective; 1 without
    /// requests.
    #[serde(rename = "worth")]
    pub weighted_served_share: f64,
    /// p50 and p99 latency of the served requests, in microseconds.
    pub latency_us: [u64; 2],
    /// Attempts, and those among them to another zone.
    pub attempts: [u64; 2],
    /// Attempts to each zone, by its index.
    #[serde(default)]
    pub to_zones: Vec<u64>,
}

impl Second {
    fn served_share(&self) -> f64 {
        if self.asked > 0 { self.served as f64 / self.asked as f64 } else { 1.0 }
    }
}

/// A fault and the time until recovery.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Recovery {
    /// Time of the fault.
    pub at_s: Seconds,
    /// Description of the fault.
    pub fault: String,
    /// Time until the served share was back at the level before the fault; `None` if it did not get there.
    pub ms: Option<u64>,
}

/// The figures of a run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Figures {
    /// Number of violations of each rule.
    pub rules: BTreeMap<String, usize>,
    /// Descriptions of the first three violations of each rule.
    pub breaks: Vec<String>,
    /// Number of requests after the warm-up, retries not counted.
    pub requests: usize,
    /// Share of them that was served, by the first try or a retry.
    pub served_share: f64,
    /// The same for each class, by index. The report has them under the classes' names.
    #[serde(skip)]
    pub by_class: BTreeMap<usize, ServedStats>,
    /// The same for each client proxy, by index.
    #[serde(skip)]
    pub by_proxy: BTreeMap<usize, ServedStats>,
    /// Share of the requests' priority weight that was served within the latency objective.
    pub worth_share: f64,
    /// Lowest such share in a single second.
    pub worst_window: f64,
    /// Share of all tries that was rejected with 429 or 503.
    pub refused_share: f64,
    /// Share of all tries that failed, timed out or was abandoned by its client.
    pub failed_share: f64,
    /// p50, p99 and p999 latency of served requests, from their scheduled time on, in microseconds.
    pub latency_us: [u64; 3],
    /// The same for the time spent in the client proxy, without server and network; only for requests with
    /// one attempt.
    pub own_us: [u64; 3],
    /// Share of the attempts that went to another zone.
    pub cross_zone_share: f64,
    /// Attempts per try of a client.
    pub attempts_per_request: f64,
    /// Recovery after each fault.
    pub recovery_ms: Vec<Recovery>,
    /// 99th percentile of the delay between scheduled and actual sending, in microseconds.
    pub testbed_late_us: u64,
    /// Figures for each second.
    pub seconds: Vec<Second>,
}

impl Ledger {
    /// The figures of a run of `duration`.
    pub fn figures(&self, duration: Seconds) -> Figures {
        // The outcome of a request is that of its last try.
        let mut last_tries: HashMap<usize, &Record> = HashMap::new();
        for record in &self.records {
            last_tries.insert(record.request.first_try.0, record);
        }
        let length = duration.ceil() as usize;
        let mut seconds: Vec<Second> =
            (0..length).map(|at| Second { at, weighted_served_share: 1.0, ..Second::default() }).collect();
        let mut weights = vec![(0.0, 0.0); length];
        let mut latencies: Vec<Vec<u64>> = vec![Vec::new(); length];
        let (mut requests, mut served, mut total_weight, mut served_weight) = (0, 0, 0.0, 0.0);
        let (mut latency, mut own) = (microseconds(), microseconds());
        let (mut by_class, mut by_proxy) =
            (BTreeMap::<usize, ServedStats>::new(), BTreeMap::<usize, ServedStats>::new());
        for (first, record) in &last_tries {
            let scheduled_at = self.records[*first].request.scheduled_at;
            let Some(second) = seconds.get_mut(scheduled_at as usize) else { continue };
            let Request { priority_weight, latency_objective, .. } = record.request;
            let (ending, at) = record.ended.unwrap_or((Ending::TimedOut, f64::INFINITY));
            second.asked += 1;
            match ending {
                Ending::Served => {
                    second.served += 1;
                    latencies[scheduled_at as usize].push(((at - scheduled_at) * 1e6) as u64);
                }
                Ending::Rejected => second.refused += 1,
                _ => second.failed += 1,
            }
            let in_time = ending == Ending::Served && at - scheduled_at <= latency_objective;
            let window = &mut weights[scheduled_at as usize];
            window.0 += priority_weight;
            window.1 += if in_time { priority_weight } else { 0.0 };
            if scheduled_at < self.counts_from {
                continue;
            }
            requests += 1;
            total_weight += priority_weight;
            served_weight += if in_time { priority_weight } else { 0.0 };
            let (class, proxy) = (record.request.class, record.request.proxy);
            by_class.entry(class).or_default().add(ending == Ending::Served);
            by_proxy.entry(proxy).or_default().add(ending == Ending::Served);
            if ending == Ending::Served {
                served += 1;
                latency.saturating_record(((at - scheduled_at) * 1e6) as u64);
                if let Some(response_at) = record.response_at.filter(|_| record.attempts == 1) {
                    let own_time = (at - record.sent) - (response_at - record.attempt_sent_at);
                    own.saturating_record((own_time.max(0.0) * 1e6) as u64);
                }
            }
        }
        for ((second, (total_weight, served_weight)), latencies) in
            seconds.iter_mut().zip(&weights).zip(&mut latencies)
        {
            if *total_weight > 0.0 {
                second.weighted_served_share = served_weight / total_weight;
            }
            latencies.sort_unstable();
            let quantile =
                |q: f64| latencies.get((q * latencies.len() as f64) as usize).copied().unwrap_or(0);
            second.latency_us = [quantile(0.5), quantile(0.99)];
            second.attempts = self.attempts_by_second.get(second.at).copied().unwrap_or_default();
            second.to_zones = self.zone_attempts_by_second.get(second.at).cloned().unwrap_or_default();
        }
        let tries: Vec<&Record> =
            self.records.iter().filter(|record| record.request.scheduled_at >= self.counts_from).collect();
        let share_of = |ending| {
            let n =
                tries.iter().filter(|record| record.ended.is_some_and(|(ended, _)| ended == ending)).count();
            n as f64 / tries.len().max(1) as f64
        };
        let counted = seconds.iter().skip(self.counts_from.ceil() as usize).filter(|second| second.asked > 0);
        let [all, crossed] = self
            .attempts_by_second
            .iter()
            .fold([0, 0], |sum, second| [sum[0] + second[0], sum[1] + second[1]]);
        let mut breaks: Vec<String> =
            self.breaks.values().flat_map(|descriptions| descriptions.iter().take(3).cloned()).collect();
        breaks.sort();
        let recovered = |(at, fault): &(Seconds, String)| Recovery {
            at_s: *at,
            fault: fault.clone(),
            ms: recovery(&seconds, *at),
        };
        Figures {
            rules: RULES
                .iter()
                .map(|(_, name)| ((*name).to_owned(), self.breaks.get(name).map_or(0, Vec::len)))
                .collect(),
            breaks,
            requests,
            served_share: served as f64 / requests.max(1) as f64,
            by_class,
            by_proxy,
            worth_share: if total_weight > 0.0 { served_weight / total_weight } else { 0.0 },
            worst_window: counted.map(|second| second.weighted_served_share).fold(1.0, f64::min),
            refused_share: share_of(Ending::Rejected),
            failed_share: share_of(Ending::Failed)
                + share_of(Ending::TimedOut)
                + share_of(Ending::Disconnected),
            latency_us: [0.5, 0.99, 0.999].map(|q| latency.value_at_quantile(q)),
            own_us: [0.5, 0.99, 0.999].map(|q| own.value_at_quantile(q)),
            cross_zone_share: crossed as f64 / all.max(1) as f64,
            attempts_per_request: self.attempts as f64 / self.records.len().max(1) as f64,
            recovery_ms: self.faults.iter().map(recovered).collect(),
            testbed_late_us: self.send_delay.value_at_quantile(0.99),
            seconds,
        }
    }
}

/// Time in ms from a fault to the first second with the served share from before it, after a second with
/// less; 0 if the share never dropped. Resolution is one second.
fn recovery(seconds: &[Second], at: Seconds) -> Option<u64> {
    let from = at as usize;
    let baseline_seconds = &seconds[from.saturating_sub(BASELINE_SECONDS)..from.min(seconds.len())];
    let baseline =
        baseline_seconds.iter().map(Second::served_share).sum::<f64>() / baseline_seconds.len().max(1) as f64;
    let mut dropped = false;
    for second in seconds.iter().skip(from) {
        let recovered = second.served_share() >= RECOVERED_SHARE * baseline;
        if dropped && recovered {
            return Some(((second.at as f64 - at).max(0.0) * 1e3) as u64);
        }
        dropped |= !recovered;
    }
    (!dropped).then_some(0)
}
