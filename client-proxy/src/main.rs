//! client-proxy: a client-side load-balancing proxy. Connects real sockets to the decision logic in
//! `balancer`.

mod accept;
mod admin;
mod clients;
mod clock;
mod config;
mod config_error;
mod diagnostics;
mod discovery;
mod driver;
mod endpoint_pool;
mod fleet_config;
mod headers;
mod inherit;
mod logging;
mod memory_budget;
mod memory_usage;
mod monitored_stream;
mod names;
mod peer_link;
mod process_state;
mod request_arrival;
mod request_body;
mod request_end;
mod request_head;
mod response_forwarding;
mod shared_limits;
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
use crate::memory_budget::{MemoryLimits, MemoryPools};
use crate::memory_usage::MemoryUsage;
use crate::peer_link::PeerLink;
use crate::process_state::ProcessState;
use crate::shared_limits::{MAX_PROCESSES, SharedLimits};
use crate::shutdown::Shutdown;
use crate::socket_budget::SocketBudget;

/// How often a process reads what its peer process has written to the state file. Operator overrides take effect in
/// both processes within a second.
const PEER_SYNC_INTERVAL: Duration = Duration::from_millis(200);
/// How long startup waits for the state folder before requests may be sent upstream: longer than a disk may
/// hang (2 s), short enough for a new process to be ready within 6 s. Until then requests get the response
/// for an unknown endpoint list.
const STATE_FOLDER_TIMEOUT: Duration = Duration::from_secs(3);
/// How long startup delays accepting clients so that the stored state is usually loaded before the first
/// request.
const EXPECTED_STATE_FOLDER_TIME: Duration = Duration::from_millis(100);

fn main() -> ExitCode {
    let config = match Config::from_env() {
        Ok(config) => config,
        Err(error) => {
            eprintln!("client-proxy: {error}");
            return ExitCode::from(2);
        }
    };
    logging::init(config.log);
    // Has to run before the runtime opens descriptors of its own: the inherited descriptor is adopted by its
    // number.
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
        log: _,
        has_metrics,
    } = config;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let listener_shared = inherited.is_some();
    let listener = inherited.map_or_else(|| bind("GW_LISTEN", listen), TcpListener::from_std)?;
    let bound = listener.local_addr()?;
    let admin_listener = admin.map(|address| bind("admin_addr", address)).transpose()?;
    let processes = if listener_shared { MAX_PROCESSES } else { 1 };
    let program = memory_usage::program_memory();
    let limits = MemoryLimits { total: memory, program, sockets, processes };
    let memory_pools = Rc::new(MemoryPools::new(&limits));
    let sockets = SocketBudget::new(sockets, admin_listener.as_ref().map_or(0, |_| admin::MAX_DESCRIPTORS));
    sockets.limit_upstreams(memory_pools.max_endpoint_connections());
    let memory_usage = Rc::new(MemoryUsage::new(memory, Rc::clone(&memory_pools), Rc::clone(&sockets)));
    spawn_local(Rc::clone(&memory_usage).watch());
    let endpoints = EndpointPool::new(
        Rc::clone(&sockets),
        Rc::clone(&memory_pools.responses),
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
        // Without an inherited listening socket no other process takes over, so no state has to be left for
        // it.
        Some(Rc::clone(&process_state)).filter(|_| listener_shared),
    );
    let longest_deadline = settings.classes.iter().map(|class| class.deadline).fold(0.0, f64::max);
    if let Some(admin_listener) = admin_listener {
        tracing::info!("{name} answers operators on {}", admin_listener.local_addr()?);
        let metrics = has_metrics.then(|| Rc::clone(&memory_usage));
        let admin = Admin { driver: Rc::clone(&driver), ready: discovery.ready(), memory_usage: metrics };
        spawn_local(admin::serve(admin_listener, Rc::new(admin)));
    }
    let started = CancellationToken::new();
    if listener_shared {
        let (process_state, sockets, endpoints) =
            (Rc::clone(&process_state), Rc::clone(&sockets), Rc::clone(&endpoints));
        let (memory_pools, memory_usage) = (Rc::clone(&memory_pools), Rc::clone(&memory_usage));
        let shared = SharedLimits { sockets, memory_pools, memory_usage, endpoints };
        spawn_local(shared.share_with_peer(process_state, started.clone()));
    }
    let shutdown = Shutdown::default();
    let context = ClientContext {
        driver: Rc::clone(&driver),
        settings,
        names,
        ready: discovery.ready(),
        sockets,
        memory: memory_pools,
        endpoints: Rc::clone(&endpoints),
        listener_shared,
        shutdown: shutdown.clone(),
    };
    spawn_local(endpoints.sweep());
    let peer_link = if listener_shared { Some(PeerLink::bind().await?) } else { None };
    if let Some(peer_link) = &peer_link {
        driver.connect_peers(Rc::clone(peer_link));
    }
    spawn_local(follow_process_state(
        process_state,
        driver,
        peer_link,
        started.clone(),
        move |process_state| discovery.run(process_state.newer_list(cached_list), commands),
    ));
    // If the folder responds promptly, the stored state is loaded before the first request.
    let _ = timeout(EXPECTED_STATE_FOLDER_TIME, started.cancelled()).await;
    let mut accept_loop = spawn_local(accept::serve(listener, Rc::new(context)));
    tracing::info!("{name} listens on {bound}");
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => match Config::reread_discovery() {
                Ok(address) => {
                    tracing::info!("{name}: configuration reloaded: discovery address is {address}");
                    discovery_address.send_replace(address);
                }
                // An unreadable file does not stop the proxy, and the old address may still respond, so it is
                // kept.
                Err(error) => tracing::info!("{name}: reload failed, discovery unchanged: {error}"),
            },
            result = &mut accept_loop => return result.map_err(std::io::Error::other),
        }
    }
    tokio::select! {
        biased;
        _ = accept_loop => return Ok(()),
        _ = shutdown.run(duration_from_ms(longest_deadline)) => {}
    }
    tracing::info!("{name}: shutdown timed out: closing connections with unread responses");
    Ok(())
}

/// Loads the state of an earlier process, then starts `follow_discovery`. With a shared listening socket it
/// goes on to apply operator overrides that the peer process (the predecessor or successor in an upgrade)
/// records.
async fn follow_process_state<F: Future<Output = ()> + 'static>(
    process_state: Rc<ProcessState>,
    driver: Rc<Driver>,
    peer_link: Option<Rc<PeerLink>>,
    started: CancellationToken,
    follow_discovery: impl FnOnce(&ProcessState) -> F,
) {
    let mut initial_read = pin!(process_state.read_at_start());
    // The stored state says which endpoints operators have disabled. Using the endpoint list before that
    // state is loaded could send requests to a disabled endpoint.
    let is_read_in_time = timeout(STATE_FOLDER_TIMEOUT, &mut initial_read).await.is_ok();
    if !is_read_in_time {
        tracing::info!("state folder timed out: starting without the state of an earlier process");
    }
    let mut has_logged_failure = false;
    let port = peer_link.as_ref().and_then(|peer_link| peer_link.port().ok());
    let mut is_registered = false;
    if let Some(peer_link) = &peer_link {
        // Without the file the ports of other processes are not known.
        if is_read_in_time {
            peer_link.synchronize(&process_state.peer_ports(), &driver).await;
            is_registered = register_process(&process_state, port, &mut has_logged_failure).await;
        }
        spawn_local(Rc::clone(peer_link).serve(Rc::clone(&driver)));
    }
    spawn_local(follow_discovery(&process_state));
    started.cancel();
    if !is_read_in_time {
        initial_read.await;
        tracing::info!("state folder responds again");
        driver.apply_operator_overrides();
    }
    if peer_link.is_none() {
        return;
    }
    loop {
        if process_state.refresh().await {
            driver.apply_operator_overrides();
        }
        sleep(PEER_SYNC_INTERVAL).await;
        is_registered =
            is_registered || register_process(&process_state, port, &mut has_logged_failure).await;
    }
}

/// Registers this process as a user of the state file and returns whether that succeeded. Until it has, two
/// processes may together exceed the limits that they share, so the caller retries; only the first failure is
/// logged.
async fn register_process(
    process_state: &ProcessState,
    port: Option<u16>,
    has_logged_failure: &mut bool,
) -> bool {
    let Err(error) = process_state.register_process(port).await else { return true };
    if !std::mem::replace(has_logged_failure, true) {
        tracing::info!("cannot register this process in the state file, retrying: {error}");
    }
    false
}

/// Listens on `address`; errors name the configuration field or variable `field`.
fn bind(field: &str, address: SocketAddr) -> std::io::Result<TcpListener> {
    accept::listen(address)
        .map_err(|error| std::io::Error::new(error.kind(), format!("{field}: {address}: {error}")))
}
