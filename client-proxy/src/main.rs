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
use crate::endpoint_pool::{EndpointPool, duration_from_ms};
use crate::memory_budget::MemoryBudget;
use crate::process_state::ProcessState;
use crate::shutdown::Shutdown;
use crate::socket_budget::SocketBudget;

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
    let inherited = env::var(inherit::INHERITED_FD_VARIABLE).ok().filter(|text| !text.is_empty());
    let inherited = inherited.map(|text| inherit::inherited_listener(&text, config.listen)).transpose();
    let result = inherited.and_then(|inherited| {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        LocalSet::new().block_on(&runtime, run(config, inherited))
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("client-proxy: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(config: Config, inherited: Option<std::net::TcpListener>) -> std::io::Result<()> {
    let Config {
        name,
        listen,
        admin,
        discovery,
        relays,
        seed,
        sockets,
        memory,
        cached_list,
        settings,
        names,
    } = config;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let listener_shared = inherited.is_some();
    let listener = inherited.map_or_else(|| bind("GW_LISTEN", listen), TcpListener::from_std)?;
    let bound = listener.local_addr()?;
    let admin_listener = admin.map(|address| bind("admin_addr", address)).transpose()?;
    let sockets = SocketBudget::new(sockets, admin_listener.as_ref().map_or(0, |_| admin::MAX_DESCRIPTORS));
    let memory_budgets = [(); 2].map(|()| Rc::new(MemoryBudget::new(memory)));
    let [request_memory, response_memory] = memory_budgets.clone();
    let endpoints = EndpointPool::new(
        Rc::clone(&sockets),
        response_memory,
        settings.limits.connection_idle_timeout,
        settings.limits.connect_timeout,
    );
    let (command_sender, commands) = mpsc::unbounded_channel();
    let process_state = Rc::new(ProcessState::open(env::var_os("TMPDIR").map(PathBuf::from), &name, &names));
    let driver = Driver::new(
        settings.clone(),
        names.clone(),
        seed,
        endpoints.clone(),
        process_state.clone(),
        command_sender,
    )
    .map_err(|error| std::io::Error::other(error.to_string()))?;
    let discovery_address = watch::Sender::new(discovery);
    let discovery = Discovery::new(
        SourceSelector::new(discovery_address.subscribe(), relays, seed),
        settings.discovery_mode,
        names.clone(),
        seed,
        Rc::clone(&endpoints),
        Rc::clone(&driver),
        // Nobody takes over where the socket is our own.
        Some(Rc::clone(&process_state)).filter(|_| listener_shared),
    );
    let longest_deadline = settings.classes.iter().map(|class| class.deadline).fold(0.0, f64::max);
    if let Some(admin_listener) = admin_listener {
        eprintln!("client-proxy: {name} answers operators on {}", admin_listener.local_addr()?);
        let admin = Admin { driver: Rc::clone(&driver), ready: discovery.ready() };
        spawn_local(admin::serve(admin_listener, Rc::new(admin)));
    }
    if listener_shared {
        let (process_state, sockets, endpoints) =
            (Rc::clone(&process_state), Rc::clone(&sockets), Rc::clone(&endpoints));
        spawn_local(share_limits_with_peer(process_state, sockets, memory_budgets, endpoints));
    }
    let shutdown = Shutdown::default();
    let context = ClientContext {
        driver: Rc::clone(&driver),
        settings,
        names,
        ready: discovery.ready(),
        sockets,
        request_memory,
        endpoints: Rc::clone(&endpoints),
        listener_shared,
        shutdown: shutdown.clone(),
    };
    spawn_local(endpoints.sweep());
    let started = CancellationToken::new();
    spawn_local(follow_process_state(
        process_state,
        driver,
        listener_shared,
        started.clone(),
        move |process_state| discovery.run(process_state.newer_list(cached_list), commands),
    ));
    // Where the folder answers at once, what it holds is known before the first request.
    let _ = timeout(EXPECTED_STATE_FOLDER_TIME, started.cancelled()).await;
    let mut accept_loop = spawn_local(accept::serve(listener, Rc::new(context)));
    eprintln!("client-proxy: {name} listens on {bound}");
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => match Config::reread_discovery() {
                Ok(address) => {
                    eprintln!("client-proxy: {name} finds discovery at {address}");
                    discovery_address.send_replace(address);
                }
                // A file that is no good is no reason to stop, nor to leave an address that may still answer.
                Err(error) => eprintln!("client-proxy: {name} keeps discovery where it was: {error}"),
            },
            result = &mut accept_loop => return result.map_err(std::io::Error::other),
        }
    }
    tokio::select! {
        biased;
        _ = accept_loop => return Ok(()),
        _ = shutdown.run(duration_from_ms(longest_deadline)) => {}
    }
    eprintln!("client-proxy: {name} ends with clients that have not read their answers");
    Ok(())
}

/// Reads what an earlier process has left, then begins to follow the list, which `follow_list` does. Where
/// `shared`, it goes on to follow what operators say to another process that may take over, or be taken over
/// from.
async fn follow_process_state<F: Future<Output = ()> + 'static>(
    process_state: Rc<ProcessState>,
    driver: Rc<Driver>,
    listener_shared: bool,
    started: CancellationToken,
    follow_discovery: impl FnOnce(&ProcessState) -> F,
) {
    let mut initial_read = pin!(process_state.read_at_start());
    // Guards against an endpoint used that is disabled by an operator: with no list nothing is used yet.
    let is_read_in_time = timeout(STATE_FOLDER_TIMEOUT, &mut initial_read).await.is_ok();
    if !is_read_in_time {
        eprintln!("client-proxy: the folder does not answer: begins without what an earlier process left");
    }
    let mut has_logged_failure = false;
    let mut is_registered =
        listener_shared && is_read_in_time && register_process(&process_state, &mut has_logged_failure).await;
    spawn_local(follow_discovery(&process_state));
    started.cancel();
    if !is_read_in_time {
        initial_read.await;
        eprintln!("client-proxy: the folder answers again");
        driver.apply_operator_overrides();
    }
    if !listener_shared {
        return;
    }
    loop {
        if process_state.refresh().await {
            driver.apply_operator_overrides();
        }
        sleep(PEER_SYNC_INTERVAL).await;
        is_registered = is_registered || register_process(&process_state, &mut has_logged_failure).await;
    }
}

/// Enters this process among those that use the folder; whether that is done. Until then the limits that both
/// share are gone over, so it is tried again; that it fails is said once.
async fn register_process(process_state: &ProcessState, has_logged_failure: &mut bool) -> bool {
    let Err(error) = process_state.register_process().await else { return true };
    if !std::mem::replace(has_logged_failure, true) {
        eprintln!("client-proxy: this process is not entered in the folder yet: {error}");
    }
    false
}

/// While another process may take over, or be taken over from: leaves it its part of the limits.
async fn share_limits_with_peer(
    process_state: Rc<ProcessState>,
    sockets: Rc<SocketBudget>,
    memory_budgets: [Rc<MemoryBudget>; 2],
    endpoints: Rc<EndpointPool>,
) {
    loop {
        let processes = process_state.processes();
        sockets.split_among(processes);
        memory_budgets.iter().for_each(|budget| budget.split_among(processes));
        while sockets.is_exceeded() && endpoints.evict_idle() {
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
