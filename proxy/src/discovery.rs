//! Discovery: lists and watches, turned into news for the decisions and places for the connections. Which call comes
//! next, until when it has to be answered and what the answer says is `milletspoke_discovery`'s; here are the sockets.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use marblebay::{Discovery as Mode, HostNews};
use milletspoke_discovery::{Answer, Follower, Next, NotAList, Pace, Reader, Sources};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde_json::{Value, json};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use crate::config::Names;
use crate::driver::{Ask, Driver};
use crate::handover::Handover;
use crate::hosts::Hosts;
use crate::parts::Relays;

/// A part of each call's time: a dial that takes longer is to a discovery that cannot be reached.
const DIAL_WITHIN: Duration = Duration::from_millis(500);
/// Guards against a discovery that answers without end what does not wait: a breath before the next call, well within
/// the 200 ms in which a watch goes on.
const BREATH: Duration = Duration::from_millis(50);
/// A list may be long, but not endless.
const LIST_MOST: usize = 8 * 1024 * 1024;
/// How long to wait for a first answer where hosts are known from before.
const START_WITHIN: Duration = Duration::from_secs(1);

#[derive(Debug, Error)]
enum CallError {
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("status {0}")]
    Status(StatusCode),
    #[error("no whole answer: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("{0}")]
    List(#[from] NotAList),
    #[error("no answer in time")]
    Silent(#[from] tokio::time::error::Elapsed),
}

impl CallError {
    /// An answer came, and it is no list.
    fn is_spoilt(&self) -> bool {
        matches!(self, CallError::Body(_) | CallError::List(_))
    }
}

/// Whom the calls go to.
pub struct Whom {
    /// Where discovery is; another address after each reload that names one.
    address: watch::Receiver<SocketAddr>,
    /// In its place, if there are any.
    relays: Option<(Sources, HeaderValue)>,
    rng: Pcg32,
    began: Instant,
}

impl Whom {
    /// Discovery where `address` has it, or `relays`.
    pub fn new(address: watch::Receiver<SocketAddr>, relays: Option<Relays>, seed: u64) -> Whom {
        // Apart from the draws of the decisions and of discovery's own pauses.
        let mut rng = Pcg32::seed_from_u64(!seed);
        let relays = relays.and_then(|Relays { near, far, authority }| {
            Some((Sources::new(&near, &far, &mut rng)?, HeaderValue::from_str(&authority).ok()?))
        });
        Whom { address, relays, rng, began: Instant::now() }
    }

    /// Whether the next call goes elsewhere than the last one; asked before each.
    fn moved(&mut self) -> bool {
        match &mut self.relays {
            Some((sources, _)) => sources.returns(self.began.elapsed(), &mut self.rng),
            None => self.address.has_changed().unwrap_or(false),
        }
    }

    /// Where the next call goes, and whose list it asks for.
    fn next(&mut self) -> (SocketAddr, HeaderValue) {
        let address = *self.address.borrow_and_update();
        match &self.relays {
            Some((sources, authority)) => (sources.address(), authority.clone()),
            None => {
                let host = address.to_string().parse();
                (address, host.expect("an address is a header value"))
            }
        }
    }

    /// Ready when discovery is said to be elsewhere; never, where relays are asked.
    async fn moves(&mut self) {
        if self.relays.is_some() || self.address.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
        self.address.mark_changed();
    }

    /// The last call was answered.
    fn answered(&mut self) {
        if let Some((sources, _)) = &mut self.relays {
            sources.answered();
        }
    }

    /// The last call failed: after how long the same is to be asked of another relay, if one is left.
    fn failed(&mut self) -> Option<Duration> {
        let (sources, _) = self.relays.as_mut()?;
        match sources.failed(self.began.elapsed(), &mut self.rng) {
            Next::Elsewhere(pause) => Some(pause),
            Next::NoneLeft => None,
        }
    }
}

/// Keeps the list of hosts as discovery tells it.
pub struct Discovery {
    whom: Whom,
    mode: Mode,
    driver: Rc<Driver>,
    /// Where the list is handed on to the next process, if there is to be one.
    handover: Option<Rc<Handover>>,
    follower: Follower<Hosts>,
    rng: Pcg32,
    link: Option<Link>,
    failing: bool,
    ready: watch::Sender<bool>,
}

impl Discovery {
    /// Nothing is asked before [`Discovery::run`].
    pub fn new(
        whom: Whom,
        mode: Mode,
        names: Names,
        seed: u64,
        hosts: Rc<Hosts>,
        driver: Rc<Driver>,
        handover: Option<Rc<Handover>>,
    ) -> Discovery {
        let listed = handover.as_ref().map(|_| RefCell::default());
        let Names { zones, kinds, .. } = names;
        let queued = mode == Mode::Subscribe && whom.relays.is_none();
        let pace = if queued { Pace::QUEUED } else { Pace::DIRECT };
        Discovery {
            whom,
            mode,
            follower: Follower::new(pace, Reader { zones, kinds, hosts, ids: driver.ids(), listed }),
            driver,
            handover,
            rng: Pcg32::seed_from_u64(seed),
            link: None,
            failing: false,
            ready: watch::Sender::new(false),
        }
    }

    /// Turns true once there are hosts to send to.
    pub fn ready(&self) -> watch::Receiver<bool> {
        self.ready.subscribe()
    }

    /// Follows the list for as long as the program runs, beginning with what was `known` before.
    pub async fn run(mut self, known: Option<Value>, mut asks: mpsc::UnboundedReceiver<Ask>) {
        let mut heard = false;
        match known.map(serde_json::from_value) {
            Some(Ok(list)) => {
                // Where lists are pushed the whole list is to be had for nothing, so no old version is built on.
                let entries = self.follower.known(list, self.mode == Mode::Subscribe);
                self.say_problems();
                if !entries.is_empty() {
                    let ready = self.ready.clone();
                    spawn_local(async move {
                        sleep(START_WITHIN).await;
                        ready.send_replace(true);
                    });
                }
                self.driver.hear(HostNews::Persisted(entries));
                heard = true;
            }
            Some(Err(error)) => eprintln!("martensill: known: not a list, so left out: {error}"),
            None => {}
        }
        if !heard {
            // The decisions begin with an event, also where nothing was known.
            self.driver.hear(HostNews::Persisted(Vec::new()));
        }
        self.driver.follow_hand();
        match self.mode {
            Mode::Automatic => self.follow().await,
            Mode::Subscribe => loop {
                let ask = tokio::select! {
                    ask = asks.recv() => ask,
                    // A move ends the pause that the decisions make after a failure: that was of the old address.
                    () = self.whom.moves() => Some(Ask::Watch),
                };
                let Some(ask) = ask else { return };
                self.answer(ask).await;
            },
        }
    }

    /// Lists that are pushed: goes on asking the agent, also through its silence.
    async fn follow(&mut self) {
        loop {
            if let Err(error) = self.next().await {
                let pause = self.failed(&error);
                if let Some(pause) = self.whom.failed() {
                    sleep(pause).await;
                    continue;
                }
                let jitter = 0.5 + 0.5 * f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
                sleep(pause.mul_f64(jitter)).await;
            }
        }
    }

    /// Lists that are asked for: the decisions say when, and back off by themselves.
    async fn answer(&mut self, ask: Ask) {
        if ask == Ask::Fetch {
            self.follower.forget_version();
        }
        loop {
            if let Err(error) = self.next().await {
                self.failed(&error);
                // All see a relay fail at once, so each goes on to another after a pause of its own.
                if let Some(pause) = self.whom.failed() {
                    sleep(pause).await;
                    continue;
                }
                self.driver.hear(HostNews::Failed);
                return;
            }
        }
    }

    /// One call and what it tells.
    async fn next(&mut self) -> Result<(), CallError> {
        let asked = Instant::now();
        let (link, body) = loop {
            if self.whom.moved() {
                // A link to where discovery no longer is is of no more use.
                self.link = None;
                self.follower.moved();
            }
            let (address, host) = self.whom.next();
            let call = self.follower.call();
            let path = call.path();
            // Guards against a dead or silent link: whatever fails, the next call begins with a new one.
            let link = self.link.take();
            tokio::select! {
                called = timeout(call.within, exchange(link, address, host, &path)) => break called??,
                // Guards against waiting on where discovery no longer is: the same call is made at the new address.
                () = self.whom.moves() => {}
            }
        };
        let answer = self.follower.answered(&body);
        self.say_problems();
        let answer = answer?;
        self.whom.answered();
        self.link = Some(link);
        if self.failing {
            self.failing = false;
            eprintln!("martensill: discovery answers again");
        }
        let (index, news, in_vain) = match answer {
            Answer::Taken { index, news, in_vain } => (index, news, in_vain),
            Answer::Doubtful { index } => {
                eprintln!(
                    "martensill: discovery: version {index} does not follow what is held: asking for all of it"
                );
                sleep(BREATH).await;
                return Ok(());
            }
        };
        self.hand_on(index);
        let nothing = matches!(&news, HostNews::Changes(changes) if changes.is_empty());
        if !nothing || self.mode == Mode::Subscribe {
            self.driver.hear(news);
        }
        self.ready.send_replace(true);
        if in_vain && asked.elapsed() < BREATH {
            sleep(BREATH).await;
        }
        Ok(())
    }

    fn say_problems(&self) {
        for problem in self.follower.problems() {
            eprintln!("martensill: discovery: an entry is left out: {problem}");
        }
    }

    /// Leaves the list for the next process. One that cannot be written is only missed if there is a next process.
    fn hand_on(&self, index: u64) {
        let (Some(handover), Some(listed)) = (&self.handover, &self.follower.reader().listed) else { return };
        let endpoints: Vec<Value> = listed.borrow().values().cloned().collect();
        let list = json!({"index": index, "snapshot": true, "endpoints": endpoints});
        if handover.state().list.as_ref() != Some(&list)
            && let Err(error) = handover.change(|state| state.list = Some(list))
        {
            eprintln!("martensill: the list is not handed on: {error}");
        }
    }

    /// Says so once, however long it lasts; the pause before the next call, where nobody else says when.
    fn failed(&mut self, error: &CallError) -> Duration {
        if !self.failing {
            self.failing = true;
            eprintln!("martensill: discovery: {error}");
        }
        self.follower.failed(error.is_spoilt())
    }
}

type Link = SendRequest<Empty<Bytes>>;

async fn exchange(
    link: Option<Link>,
    address: SocketAddr,
    host: HeaderValue,
    path: &str,
) -> Result<(Link, Bytes), CallError> {
    let kept = match link {
        Some(mut link) => link.ready().await.is_ok().then_some(link),
        None => None,
    };
    let mut link = match kept {
        Some(link) => link,
        None => dial(address).await?,
    };
    let mut request = Request::new(Empty::new());
    *request.uri_mut() = path.parse().expect("digits in a fixed path are a path");
    request.headers_mut().insert(HOST, host);
    let (head, body) = link.send_request(request).await?.into_parts();
    if head.status != StatusCode::OK {
        return Err(CallError::Status(head.status));
    }
    let body = Limited::new(body, LIST_MOST).collect().await.map_err(CallError::Body)?.to_bytes();
    Ok((link, body))
}

async fn dial(address: SocketAddr) -> Result<Link, CallError> {
    let stream = timeout(DIAL_WITHIN, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let (link, connection) = Builder::new().handshake(TokioIo::new(stream)).await?;
    // How it ends is seen by the call on it.
    spawn_local(async move { drop(connection.await) });
    Ok(link)
}
