//! Conversion of the protocol's values to those of the balancer.

use balancer::{EndpointEntry, EndpointId, EndpointState, LoadReport, Outcome};

use crate::wire::{ListEntry, ListEntryState, Metrics};

/// Converts the status code of an attempt or probe in the protocol.
pub(crate) fn convert_outcome(status_code: i64) -> Outcome {
    match status_code {
        0 => Outcome::Served,
        13 => Outcome::Error,
        8 => Outcome::Rejected,
        4 => Outcome::TimedOut,
        14 => Outcome::ConnectFailed,
        10 => Outcome::Reset,
        1 => Outcome::Cancelled,
        9 => Outcome::NeverSent,
        _ => Outcome::Unknown,
    }
}

/// Converts a load report to the balancer's form.
pub fn convert_load_report(metrics: &Metrics) -> LoadReport {
    LoadReport {
        outstanding: metrics.outstanding,
        backlog: metrics.backlog,
        utilization: metrics.utilization,
        recent_ms: metrics.recent_ms,
        throughput: metrics.throughput,
        errors_per_s: metrics.errors_per_s,
    }
}

pub(crate) fn convert_entry(entry: &ListEntry) -> EndpointEntry {
    EndpointEntry {
        endpoint: EndpointId(entry.endpoint),
        zone: entry.zone,
        kind: entry.kind,
        cell: entry.cell,
        weight: entry.weight,
        started_at: (entry.started_at > 0.0).then_some(entry.started_at),
        state: match entry.state {
            ListEntryState::Up => EndpointState::Up,
            ListEntryState::Draining => EndpointState::Draining,
            ListEntryState::Removed => EndpointState::Removed,
        },
    }
}

pub(crate) fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

pub(crate) fn from_hex(text: &str) -> Option<Vec<u8>> {
    if !text.bytes().all(|byte| byte.is_ascii_hexdigit()) || !text.len().is_multiple_of(2) {
        return None;
    }
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16).ok()).collect()
}
