//! discovery-relay: distributes the endpoint list from discovery to client proxies and other relays. See
//! docs/relays.md.
#![forbid(unsafe_code)]

mod catalog;
mod config;
mod connection_limiter;
mod downstream;
mod response_body;
mod stall_detection;
mod upstream;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clap::Parser;
use discovery_proto::Sources;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::catalog::{Catalog, TombstoneRetention};
use crate::config::Config;
use crate::downstream::Downstream;
use crate::upstream::Upstream;

/// How many removed endpoints are remembered, and for how long, so that a downstream that was away can still
/// be sent only the changes.
const TOMBSTONE_RETENTION: TombstoneRetention =
    TombstoneRetention { max_per_service: 4096, max_age: Duration::from_secs(600) };
/// Connections that the kernel may queue before the relay accepts them: all downstreams of another relay may
/// connect within half a second while the relay is busy sending a change. The kernel may allow fewer.
const ACCEPT_BACKLOG: u32 = 4096;
/// Open watches are answered within the first second of the shutdown; the rest is left for downstreams that
/// read slowly.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Distributes the endpoint list from discovery to client proxies and other relays.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// The configuration file, in TOML.
    #[arg(long)]
    config: PathBuf,
}

fn main() -> ExitCode {
    let config = match Config::read(&Arguments::parse().config) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("relay: {error}");
            return ExitCode::from(2);
        }
    };
    let result = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .and_then(|runtime| LocalSet::new().block_on(&runtime, run(config)));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("relay: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(config: Config) -> std::io::Result<()> {
    let (mut terminate, mut interrupt) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    let listener = listen(config.listen)?;
    let bound = listener.local_addr()?;
    let mut rng = Pcg32::seed_from_u64(seed(bound.port()));
    let catalog = Rc::new(RefCell::new(Catalog::new(TOMBSTONE_RETENTION, config.scopes)));
    let sources = Sources::new(&config.source.near, &config.source.far, &mut rng);
    let sources = sources.ok_or_else(|| std::io::Error::other("source: no address given"))?;
    let upstream = Upstream::new(Rc::clone(&catalog), sources, rng.clone());
    let shutdown = CancellationToken::new();
    let confirmation = upstream.confirmation();
    let downstream = Downstream::new(
        catalog,
        confirmation,
        config.serves_full_list,
        config.max_connections,
        rng,
        shutdown.clone(),
    );
    spawn_local(upstream.run());
    spawn_local(Rc::clone(&downstream).track_source());
    let mut serving = spawn_local(downstream.serve(listener));
    eprintln!("relay: listens on {bound}");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        result = &mut serving => return result.map_err(std::io::Error::other),
    }
    shutdown.cancel();
    if timeout(SHUTDOWN_TIMEOUT, serving).await.is_err() {
        eprintln!("relay: shutdown timed out: closing connections with unfinished responses");
    }
    Ok(())
}

/// Listens on that address.
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // Without this, connections of the previous process in TIME_WAIT make bind fail after a restart.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// A seed for random delays, different for relays that start at the same moment.
fn seed(port: u16) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.as_nanos() as u64 ^ u64::from(std::process::id()) << 32 ^ u64::from(port) << 16
}
