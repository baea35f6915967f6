//! Converts protocol messages to balancer events, and balancer actions to protocol messages.

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;

use balancer::{
    Action, AttemptEnd, Balancer, EndpointEntry, EndpointId, EndpointUpdate, Event, NewRequest, RequestId,
    RequestMetadata,
};
use thiserror::Error;

use crate::conversion::{convert_entry, convert_load_report, convert_outcome, from_hex, to_hex};
use crate::settings::convert_settings;
use crate::wire::{Incoming, Outgoing, Recipient, UpdateKind};

/// An error that ends the adapter.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// Reading the input or writing the output failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A message that cannot be parsed, or that is not allowed at this point.
    #[error("line {line_number}: {problem}")]
    InvalidMessage {
        /// Line of the input, counted from 1.
        line_number: u64,
        /// What is wrong with the message.
        problem: String,
    },
}

/// A request that the balancer or an attempt may still refer to.
struct RequestState {
    /// Its identifier in the protocol.
    wire_id: Rc<str>,
    attempts_in_flight: u32,
    ended: bool,
}

/// A balancer, and the requests that it handles.
struct BalancerInstance {
    balancer: Balancer,
    /// Balancer's request identifiers by their identifiers in the protocol.
    ids: BTreeMap<Rc<str>, u64>,
    requests: BTreeMap<u64, RequestState>,
    next_id: u64,
}

impl BalancerInstance {
    fn id(&self, wire_id: &str) -> Option<RequestId> {
        self.ids.get(wire_id).map(|id| RequestId(*id))
    }

    fn add_request(&mut self, wire_id: &str) -> RequestId {
        let id = self.next_id;
        self.next_id += 1;
        let wire_id: Rc<str> = wire_id.into();
        self.ids.insert(Rc::clone(&wire_id), id);
        self.requests.insert(id, RequestState { wire_id, attempts_in_flight: 0, ended: false });
        RequestId(id)
    }

    fn update_request(&mut self, id: RequestId, change: impl FnOnce(&mut RequestState)) {
        if let Some(request) = self.requests.get_mut(&id.0) {
            change(request);
        }
    }

    /// Removes a request that has ended and has no attempt in flight: no message can refer to it any more.
    fn remove_if_done(&mut self, id: RequestId) {
        if self.requests.get(&id.0).is_some_and(|request| request.ended && request.attempts_in_flight == 0)
            && let Some(request) = self.requests.remove(&id.0)
        {
            self.ids.remove(&request.wire_id);
        }
    }
}

/// Reads messages and writes replies until the end of the input.
///
/// # Errors
/// If reading or writing fails, or on a message that is malformed or not allowed at this point.
pub fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut adapter = Adapter::default();
    let mut line = Vec::new();
    let mut reply = Vec::new();
    let mut line_number = 0;
    loop {
        line.clear();
        if input.read_until(b'\n', &mut line)? == 0 {
            return Ok(());
        }
        line_number += 1;
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let invalid = |problem: String| AdapterError::InvalidMessage { line_number, problem };
        let message = serde_json::from_slice(&line).map_err(|error| invalid(json_problem(&error)))?;
        if adapter.handle(message, &mut reply).map_err(invalid)? {
            output.write_all(&reply)?;
            output.flush()?;
            reply.clear();
        }
    }
}

/// The text of a JSON error, without its line number: each line is parsed by itself, so that is always 1.
fn json_problem(error: &serde_json::Error) -> String {
    let text = error.to_string();
    match text.rsplit_once(" at line ") {
        Some((problem, _)) => format!("{problem} at column {}", error.column()),
        None => text,
    }
}

#[derive(Default)]
struct Adapter {
    /// Time of the current batch; `None` between batches.
    now: Option<f64>,
    endpoint_lists: BTreeMap<u8, Vec<EndpointEntry>>,
    instances: BTreeMap<u32, BalancerInstance>,
    /// Empty between events; kept to reuse its allocation.
    actions: Vec<Action>,
}

impl Adapter {
    /// Handles one message. Returns true at the end of a batch, when `reply` is complete.
    fn handle(&mut self, message: Incoming<'_>, reply: &mut Vec<u8>) -> Result<bool, String> {
        if let Incoming::BatchStart { time } = message {
            return match self.now.replace(time) {
                None => Ok(false),
                Some(_) => Err("TURN before the end of the previous batch".into()),
            };
        }
        let now = self.now.ok_or("message outside a batch: expected TURN first")?;
        match message {
            Incoming::BatchStart { .. } => {}
            Incoming::BatchEnd {} => {
                self.now = None;
                write_message(reply, &Outgoing::EndOfReply {});
                return Ok(true);
            }
            Incoming::StartBalancer { proxy, seed, settings } => {
                match Balancer::new(convert_settings(*settings), seed) {
                    Ok(balancer) => {
                        let instance = BalancerInstance {
                            balancer,
                            ids: BTreeMap::new(),
                            requests: BTreeMap::new(),
                            next_id: 0,
                        };
                        self.instances.insert(proxy, instance);
                    }
                    Err(error) => {
                        write_message(
                            reply,
                            &Outgoing::BalancerFailed { proxy, message: &error.to_string() },
                        );
                    }
                }
            }
            Incoming::StopBalancer { proxy } => {
                self.instances.remove(&proxy).ok_or_else(|| not_running(proxy))?;
            }
            Incoming::EndpointList { list_id, entries } => {
                self.endpoint_lists.insert(list_id, entries.iter().map(convert_entry).collect());
            }
            Incoming::EndpointUpdate { proxy, list_id, kind } => {
                let update = match kind {
                    UpdateKind::Failed => EndpointUpdate::Failed,
                    with_entries => {
                        let list = self.endpoint_lists.get(&list_id);
                        let entries =
                            list.ok_or_else(|| format!("endpoint list {list_id} is unknown"))?.clone();
                        match with_entries {
                            UpdateKind::Changes => EndpointUpdate::Changes(entries),
                            UpdateKind::FullSnapshot => EndpointUpdate::FullSnapshot(entries),
                            _ => EndpointUpdate::CachedSnapshot(entries),
                        }
                    }
                };
                self.dispatch(now, proxy, Event::EndpointUpdate(update), reply)?;
            }
            Incoming::Request {
                proxy,
                request,
                is_retry,
                is_write,
                remaining_deadline,
                class,
                size_hint,
                tenant,
                key,
            } => {
                let instance = self.instance(proxy)?;
                if instance.id(&request).is_some() {
                    return Ok(false); // duplicate: the first one has not ended yet
                }
                let identity = None; // an id is never used twice on this wire
                let metadata =
                    RequestMetadata { class, tenant, is_retry, is_write, size_hint, key, identity };
                let id = instance.add_request(&request);
                let request = NewRequest { id, timeout: remaining_deadline, body_pending: false, metadata };
                self.dispatch(now, proxy, Event::Request(request), reply)?;
            }
            Incoming::FirstByte { proxy, request, attempt } => {
                if let Some(id) = self.instance(proxy)?.id(&request) {
                    self.dispatch(now, proxy, Event::FirstByte { id, attempt }, reply)?;
                }
            }
            Incoming::AttemptFinished {
                proxy,
                request,
                attempt,
                status_code,
                latency,
                request_ended,
                metrics,
            } => {
                let instance = self.instance(proxy)?;
                if let Some(id) = instance.id(&request) {
                    instance.update_request(id, |request| {
                        request.attempts_in_flight = request.attempts_in_flight.saturating_sub(1);
                        request.ended |= request_ended;
                    });
                    let end = AttemptEnd {
                        id,
                        attempt,
                        outcome: convert_outcome(status_code),
                        latency,
                        request_ended,
                        load_report: convert_load_report(&metrics),
                        cannot_resend: false,
                    };
                    self.dispatch(now, proxy, Event::AttemptFinished(end), reply)?;
                    self.instance(proxy)?.remove_if_done(id);
                }
            }
            Incoming::ClientDisconnected { proxy, request } => {
                let instance = self.instance(proxy)?;
                if let Some(id) = instance.id(&request) {
                    instance.update_request(id, |request| request.ended = true);
                    self.dispatch(now, proxy, Event::ClientDisconnected { id }, reply)?;
                    self.instance(proxy)?.remove_if_done(id);
                }
            }
            Incoming::TimerFired { proxy, token } => {
                self.dispatch(now, proxy, Event::TimerFired { token }, reply)?;
            }
            Incoming::ProbeFinished { proxy, endpoint, status_code, latency, metrics } => {
                let event = Event::ProbeFinished {
                    endpoint: EndpointId(endpoint),
                    outcome: convert_outcome(status_code),
                    latency,
                    load_report: convert_load_report(&metrics),
                };
                self.dispatch(now, proxy, event, reply)?;
            }
            Incoming::PeerMessage { proxy, sender, content } => {
                let content = from_hex(&content).ok_or("message content is not valid hexadecimal")?;
                self.dispatch(now, proxy, Event::PeerMessage { from: sender, content }, reply)?;
            }
        }
        Ok(false)
    }

    fn instance(&mut self, proxy: u32) -> Result<&mut BalancerInstance, String> {
        self.instances.get_mut(&proxy).ok_or_else(|| not_running(proxy))
    }

    /// Passes an event to its balancer and appends the resulting actions to the reply.
    fn dispatch(&mut self, now: f64, proxy: u32, event: Event, reply: &mut Vec<u8>) -> Result<(), String> {
        let mut actions = std::mem::take(&mut self.actions);
        let instance = self.instance(proxy)?;
        let handled = catch_unwind(AssertUnwindSafe(|| instance.balancer.handle(now, event, &mut actions)));
        if handled.is_err() {
            write_message(
                reply,
                &Outgoing::BalancerFailed { proxy, message: "the decisions panicked; see standard error" },
            );
            actions.clear();
        }
        for action in actions.drain(..) {
            write_action(proxy, instance, &action, reply);
        }
        self.actions = actions;
        Ok(())
    }
}

fn not_running(proxy: u32) -> String {
    format!("balancer {proxy} is not running")
}

fn write_message(reply: &mut Vec<u8>, message: &Outgoing<'_>) {
    serde_json::to_writer(&mut *reply, message).expect("serializing a message to memory cannot fail");
    reply.push(b'\n');
}

fn write_action(proxy: u32, instance: &mut BalancerInstance, action: &Action, reply: &mut Vec<u8>) {
    let wire_id = |id: &RequestId| instance.requests.get(&id.0).map(|request| Rc::clone(&request.wire_id));
    match action {
        Action::Send { id, endpoint, timeout } => {
            let Some(request) = wire_id(id) else { return };
            write_message(
                reply,
                &Outgoing::SendAttempt { proxy, request: &request, timeout: *timeout, endpoint: endpoint.0 },
            );
            instance.update_request(*id, |request| request.attempts_in_flight += 1);
        }
        Action::Cancel { id, attempt } => {
            let Some(request) = wire_id(id) else { return };
            write_message(reply, &Outgoing::CancelAttempt { proxy, request: &request, attempt: *attempt });
        }
        Action::Reject { id, retry_after } => {
            let Some(request) = wire_id(id) else { return };
            write_message(
                reply,
                &Outgoing::RejectRequest { proxy, request: &request, retry_after: *retry_after },
            );
            instance.update_request(*id, |request| request.ended = true);
            instance.remove_if_done(*id);
        }
        Action::Fail { id } => {
            let Some(request) = wire_id(id) else { return };
            write_message(reply, &Outgoing::FailRequest { proxy, request: &request });
            instance.update_request(*id, |request| request.ended = true);
            instance.remove_if_done(*id);
        }
        Action::SetTimer { at, token } => {
            write_message(reply, &Outgoing::SetTimer { proxy, at: *at, token: *token });
        }
        Action::Probe { endpoint } => {
            write_message(reply, &Outgoing::ProbeEndpoint { proxy, endpoint: endpoint.0 });
        }
        Action::CloseIdleConnections { endpoint } => {
            write_message(reply, &Outgoing::CloseIdleConnections { proxy, endpoint: endpoint.0 });
        }
        Action::SendToPeer { to, content } => {
            let to = to.map_or(Recipient::All("all"), Recipient::One);
            write_message(reply, &Outgoing::SendToPeer { proxy, to, content: to_hex(content) });
        }
        // The simulator assigns the endpoint identifiers and never reuses them: nothing has to be released.
        Action::ReleaseEndpointId { .. } => {}
        Action::Watch => write_message(reply, &Outgoing::WatchDiscovery { proxy, active: true }),
        Action::Fetch => write_message(reply, &Outgoing::PollDiscovery { proxy }),
        // Instances are single processes, and requests have no identity here.
        Action::AnnounceForwarded { .. } => {}
        Action::Log(message) => write_message(reply, &Outgoing::Log { proxy, message }),
    }
}

#[cfg(test)]
mod tests;
