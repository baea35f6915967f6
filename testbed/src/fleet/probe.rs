//! Connections to a client proxy that only find out whether it answers.

use std::io;
use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Opens the listening socket that a client proxy inherits.
pub(super) fn listen(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(1024)?;
    Ok(socket.into())
}

/// Whether the process with this operators' address is ready.
pub(super) async fn ping(admin_address: SocketAddr) -> io::Result<bool> {
    Ok(exchange(admin_address, "PING\n").await?.starts_with("+OK"))
}

pub(super) async fn is_ready(address: SocketAddr) -> io::Result<bool> {
    let request = "GET /ready HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n";
    Ok(exchange(address, request).await?.starts_with("HTTP/1.1 200"))
}

/// Sends `call` on a new connection and reads the response until the peer closes it.
pub(super) async fn exchange(address: SocketAddr, request: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(request.as_bytes()).await?;
    let mut response = String::new();
    stream.read_to_string(&mut response).await?;
    Ok(response)
}
