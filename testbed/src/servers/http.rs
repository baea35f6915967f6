//! Serves a server's connections: which requests it takes, and what it responds.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::guards::{AttemptGuard, CancelGuard};
use super::{ResponseMode, Server, Traits, body_of};
use crate::ledger::{Rule, Txn};
use crate::link::{Link, LinkListener, LinkStream};
use crate::station::{Admission, Seconds};

/// Work of repeating the response for an idempotency key that has already run. Rejecting a request costs
/// none.
const REPLAY_WORK: Seconds = 0.0002;

/// Backoff after a failed accept, as when the process has run out of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

impl Server {
    /// Accepts connections from one client proxy until the end of the run. Returns the address for that
    /// proxy.
    ///
    /// # Errors
    /// If no listening socket can be created.
    pub fn open(self: &Rc<Self>, proxy: usize, crosses: bool, link: Rc<Link>) -> io::Result<SocketAddr> {
        let mut listener = LinkListener::open(Rc::clone(&link))?;
        let (address, server) = (listener.address(), Rc::clone(self));
        spawn_local(async move {
            loop {
                match listener.accept().await {
                    Ok(stream) => {
                        let link = Rc::clone(&link);
                        spawn_local(Rc::clone(&server).serve_connection(stream, proxy, crosses, link));
                    }
                    Err(_) => sleep(ACCEPT_BACKOFF).await,
                }
            }
        });
        Ok(address)
    }

    async fn serve_connection(
        self: Rc<Self>,
        stream: LinkStream,
        proxy: usize,
        crosses: bool,
        link: Rc<Link>,
    ) {
        let full = self.connections.get() >= self.traits.connections;
        self.connections.set(self.connections.get() + 1);
        let is_open = stream.is_open();
        let service = service_fn(|request| {
            let (server, is_open) = (Rc::clone(&self), is_open.clone());
            let delays = link.delays();
            async move {
                Ok::<_, Infallible>(server.respond(request, proxy, crosses, full, is_open, delays).await)
            }
        });
        // An error of the connection also ends the attempt on it, which records it.
        let _ = Builder::new().serve_connection(TokioIo::new(stream), service).await;
        self.connections.set(self.connections.get() - 1);
    }

    async fn respond(
        &self,
        request: Request<Incoming>,
        proxy: usize,
        crosses: bool,
        full: bool,
        is_open: impl Fn() -> bool + 'static,
        (forward_delay, reverse_delay): (Duration, Duration),
    ) -> Response<Full<Bytes>> {
        let received_at = self.run.now();
        let (head, body) = request.into_parts();
        if body.collect().await.is_err() {
            return empty_response(StatusCode::BAD_REQUEST);
        }
        let text = head.headers.get("x-txn").and_then(|txn| txn.to_str().ok());
        let Some(text) = text else { return empty_response(StatusCode::NOT_FOUND) };
        let txn = Txn(usize::from_str_radix(text, 16).unwrap_or(usize::MAX));
        let now = self.run.now();
        let reached = now - forward_delay.as_secs_f64();
        let notified_at = self.drain_notified_at.borrow().get(proxy).copied().flatten();
        let entered = {
            let mut ledger = self.run.ledger.borrow_mut();
            let entered = ledger.begin_attempt(
                txn,
                now,
                (self.traits.zone, crosses),
                &self.traits.name,
                Box::new(is_open),
            );
            let grace = self.contract.drain_grace.as_secs_f64() + 0.05;
            if let Some(notified_at) = notified_at.filter(|notified_at| received_at > notified_at + grace) {
                let after = received_at - notified_at;
                ledger.record_violation(
                    Rule::Drain,
                    now,
                    &format!("{} got {txn:?} {after:.2} s after", self.traits.name),
                );
            }
            entered.map(|attempt| AttemptGuard { attempt, run: self.run.clone() })
        };
        let Some(_attempt_guard) = entered else { return empty_response(StatusCode::BAD_REQUEST) };
        if full || self.draining.get() {
            return rejected();
        }
        match self.response_mode.get() {
            ResponseMode::Well => {}
            ResponseMode::Error => return empty_response(StatusCode::INTERNAL_SERVER_ERROR),
            ResponseMode::Silent => std::future::pending().await,
        }
        let Some((id, done)) = self.offer(txn) else { return rejected() };
        let mut cancel_guard = CancelGuard { server: self, id: Some(id) };
        if done.await.is_err() {
            // The server's process was restarted and has lost this request.
            std::future::pending::<()>().await;
        }
        cancel_guard.id = None;
        let now = self.run.now();
        let mut ledger = self.run.ledger.borrow_mut();
        let Traits { zone, cell, .. } = self.traits;
        if !ledger.knows_key(txn, now, (zone, cell)) {
            ledger.record_effect(txn, now, &self.traits.name, (zone, cell));
        }
        ledger.record_response(txn, reached, now + reverse_delay.as_secs_f64());
        drop(ledger);
        let mut response = Response::new(Full::new(Bytes::from(body_of(txn))));
        let (working, waiting) = self.model.borrow().queue_lengths();
        let report = format!("inflight={working},queue={waiting},util={:.2}", self.util.get());
        if let Ok(report) = report.try_into() {
            response.headers_mut().insert("x-pressure", report);
        }
        response
    }

    /// Adds a request to the queue. Returns `None` if the queue is full.
    fn offer(&self, txn: Txn) -> Option<(u64, oneshot::Receiver<()>)> {
        self.advance();
        let now = self.run.now();
        let work = {
            let ledger = self.run.ledger.borrow();
            let work = ledger.request(txn).map_or(0.0, |request| request.work);
            let Traits { zone, cell, .. } = self.traits;
            if ledger.knows_key(txn, now, (zone, cell)) { REPLAY_WORK } else { work }
        };
        self.check_warm_up_load(now, work);
        let id = self.next_id.replace(self.next_id.get() + 1);
        let offered = self.model.borrow_mut().offer(id, work);
        if offered == Admission::Full {
            return None;
        }
        let (done, wait) = oneshot::channel();
        self.completions.borrow_mut().insert(id, done);
        self.changed.notify_one();
        Some((id, wait))
    }
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

fn rejected() -> Response<Full<Bytes>> {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    response.headers_mut().insert("x-turned-away", hyper::header::HeaderValue::from_static("1"));
    response
}
