//! client-proxy: a client proxy on real sockets round the decisions of `balancer`.

mod accept;
mod admin;
mod clients;
mod clock;
mod config;
mod config_error;
mod discovery;
mod driver;
mod endpoint_pool;
mod fleet_config;
mod headers;
mod inherit;
mod memory_budget;
mod monitored_stream;
mod names;
mod process_state;
mod request_body;
mod request_end;
mod request_head;
mod response_forwarding;
mod shutdown;
mod socket_budget;
mod upstream_request;

use std::env;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::pin::pin;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::admin::Admin;
use crate::clients::ClientContext;
use crate::config::Config;
use crate::discovery::{Discovery, SourceSelector};
use crate::driver::Driver;
use crate::endpoint_pool::{EndpointPool, millis};
use crate::memory_budget::MemoryBudget;
use crate::process_state::ProcessState;
use crate::shutdown::Shutdown;
use crate::socket_budget::Sockets;

/// How often two processes look at what the other has done. Calls by hand hold everywhere within a second.
const PEER_SYNC_INTERVAL: Duration = Duration::from_millis(200);
/// How long a start waits for the folder before anything is sent: longer than a disk may hang (2 s), short
/// enough for a new process to be ready in 6 s. Requests are answered meanwhile as where no list is known.
const STATE_FOLDER_TIMEOUT: Duration = Duration::from_secs(3);
/// How long clients that connect just then are kept waiting for it.
const EXPECTED_STATE_FOLDER_TIME: Duration = Duration::from_millis(100);
fn main() -> ExitCode {
    let config = match Config::from_env() {
        Ok(config) => config,
        Err(error) => {
            eprintln!("client-proxy: {error}");
            return ExitCode::from(2);
        }
    };
    // Before the runtime opens descriptors of its own.
    let passed = env::var(inherit::VARIABLE).ok().filter(|text| !text.is_empty());
    let passed = passed.map(|text| inherit::listener(&text, config.listen)).transpose();
    let ended = passed.and_then(|passed| {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        LocalSet::new().block_on(&runtime, run(config, passed))
    });
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("client-proxy: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(config: Config, passed: Option<std::net::TcpListener>) -> std::io::Result<()> {
    let Config { name, listen, admin, discovery, relays, seed, sockets, memory, known, settings, names } =
        config;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let shared = passed.is_some();
    let listener = passed.map_or_else(|| bind("GW_LISTEN", listen), TcpListener::from_std)?;
    let bound = listener.local_addr()?;
    let operators = admin.map(|address| bind("admin_addr", address)).transpose()?;
    let sockets = Sockets::new(sockets, operators.as_ref().map_or(0, |_| admin::DESCRIPTORS));
    let rooms = [(); 2].map(|()| Rc::new(MemoryBudget::new(memory)));
    let [requests, answers] = rooms.clone();
    let endpoints = EndpointPool::new(
        Rc::clone(&sockets),
        answers,
        settings.limits.connection_idle_timeout,
        settings.limits.connect_timeout,
    );
    let (wish, wishes) = mpsc::unbounded_channel();
    let handover = Rc::new(ProcessState::open(env::var_os("TMPDIR").map(PathBuf::from), &name, &names));
    let driver =
        Driver::new(settings.clone(), names.clone(), seed, endpoints.clone(), handover.clone(), wish)
            .map_err(|error| std::io::Error::other(error.to_string()))?;
    let moves = watch::Sender::new(discovery);
    let list = Discovery::new(
        SourceSelector::new(moves.subscribe(), relays, seed),
        settings.discovery_mode,
        names.clone(),
        seed,
        Rc::clone(&endpoints),
        Rc::clone(&driver),
        // Nobody takes over where the socket is our own.
        Some(Rc::clone(&handover)).filter(|_| shared),
    );
    let longest = settings.classes.iter().map(|class| class.deadline).fold(0.0, f64::max);
    if let Some(operators) = operators {
        eprintln!("client-proxy: {name} answers operators on {}", operators.local_addr()?);
        let admin = Admin { driver: Rc::clone(&driver), ready: list.ready() };
        spawn_local(admin::serve(operators, Rc::new(admin)));
    }
    if shared {
        let (handover, sockets, endpoints) =
            (Rc::clone(&handover), Rc::clone(&sockets), Rc::clone(&endpoints));
        spawn_local(share_limits_with_peer(handover, sockets, rooms, endpoints));
    }
    let shutdown = Shutdown::default();
    let front = ClientContext {
        driver: Rc::clone(&driver),
        settings,
        names,
        ready: list.ready(),
        sockets,
        room: requests,
        endpoints: Rc::clone(&endpoints),
        shared,
        shutdown: shutdown.clone(),
    };
    spawn_local(endpoints.sweep());
    let begun = CancellationToken::new();
    spawn_local(follow_folder(handover, driver, shared, begun.clone(), move |left| {
        list.run(left.newer_list(known), wishes)
    }));
    // Where the folder answers at once, what it holds is known before the first request.
    let _ = timeout(EXPECTED_STATE_FOLDER_TIME, begun.cancelled()).await;
    let mut serving = spawn_local(accept::serve(listener, Rc::new(front)));
    eprintln!("client-proxy: {name} listens on {bound}");
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => match Config::reread_discovery() {
                Ok(address) => {
                    eprintln!("client-proxy: {name} finds discovery at {address}");
                    moves.send_replace(address);
                }
                // A file that is no good is no reason to stop, nor to leave an address that may still answer.
                Err(error) => eprintln!("client-proxy: {name} keeps discovery where it was: {error}"),
            },
            ended = &mut serving => return ended.map_err(std::io::Error::other),
        }
    }
    tokio::select! {
        biased;
        _ = serving => return Ok(()),
        _ = shutdown.proceed(millis(longest)) => {}
    }
    eprintln!("client-proxy: {name} ends with clients that have not read their answers");
    Ok(())
}

/// Reads what an earlier process has left, then begins to follow the list, which `follow_list` does. Where
/// `shared`, it goes on to follow what operators say to another process that may take over, or be taken over
/// from.
async fn follow_folder<F: Future<Output = ()> + 'static>(
    handover: Rc<ProcessState>,
    driver: Rc<Driver>,
    shared: bool,
    begun: CancellationToken,
    follow_list: impl FnOnce(&ProcessState) -> F,
) {
    let mut read = pin!(handover.read_at_start());
    // Guards against an endpoint used that is disabled by an operator: with no list nothing is used yet.
    let in_time = timeout(STATE_FOLDER_TIMEOUT, &mut read).await.is_ok();
    if !in_time {
        eprintln!("client-proxy: the folder does not answer: begins without what an earlier process left");
    }
    let mut said = false;
    let mut signed_in = shared && in_time && register_process(&handover, &mut said).await;
    spawn_local(follow_list(&handover));
    begun.cancel();
    if !in_time {
        read.await;
        eprintln!("client-proxy: the folder answers again");
        driver.apply_operator_overrides();
    }
    if !shared {
        return;
    }
    loop {
        if handover.news().await {
            driver.apply_operator_overrides();
        }
        sleep(PEER_SYNC_INTERVAL).await;
        signed_in = signed_in || register_process(&handover, &mut said).await;
    }
}

/// Enters this process among those that use the folder; whether that is done. Until then the limits that both
/// share are gone over, so it is tried again; that it fails is said once.
async fn register_process(handover: &ProcessState, said: &mut bool) -> bool {
    let Err(error) = handover.register_process().await else { return true };
    if !std::mem::replace(said, true) {
        eprintln!("client-proxy: this process is not entered in the folder yet: {error}");
    }
    false
}

/// While another process may take over, or be taken over from: leaves it its part of the limits.
async fn share_limits_with_peer(
    handover: Rc<ProcessState>,
    sockets: Rc<Sockets>,
    rooms: [Rc<MemoryBudget>; 2],
    endpoints: Rc<EndpointPool>,
) {
    loop {
        let processes = handover.processes();
        sockets.share(processes);
        rooms.iter().for_each(|room| room.share(processes));
        while sockets.is_over() && endpoints.evict_idle() {
            tokio::task::yield_now().await;
        }
        sleep(PEER_SYNC_INTERVAL).await;
    }
}

/// Listens on the address that `field` names.
fn bind(field: &str, address: SocketAddr) -> std::io::Result<TcpListener> {
    accept::listen(address)
        .map_err(|error| std::io::Error::new(error.kind(), format!("{field}: {address}: {error}")))
}
