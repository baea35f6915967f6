//! The listening socket that the platform may pass to the process, identified by its descriptor number in the
//! environment.

use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{FromRawFd, RawFd};

use socket2::{Socket, Type};

/// Variable that holds the descriptor number.
pub const INHERITED_FD_VARIABLE: &str = "GW_INHERITED_FD";
/// Standard input, output and error cannot be inherited as listening sockets.
const MIN_PASSABLE_FD: RawFd = 3;

/// Adopts the descriptor whose number is in `text`; it has to listen on `address`. To be called once, before
/// anything else in the program opens descriptors.
///
/// # Errors
/// What is wrong with the descriptor, which is then left open or closed.
pub fn inherited_listener(text: &str, address: SocketAddr) -> io::Result<TcpListener> {
    let invalid = |problem: &str| io::Error::other(format!("{INHERITED_FD_VARIABLE}: {text:?} {problem}"));
    let fd: RawFd = text.parse().map_err(|_| invalid("is not a descriptor number"))?;
    if fd < MIN_PASSABLE_FD {
        return Err(invalid("is not an inheritable descriptor"));
    }
    let link = fs::read_link(format!("/proc/self/fd/{fd}")).map_err(|_| invalid("is not open"))?;
    if !link.to_string_lossy().starts_with("socket:") {
        return Err(invalid("is not a socket"));
    }
    let socket = adopt(fd);
    if socket.r#type()? != Type::STREAM || !socket.is_listener()? {
        return Err(invalid("is not a listening socket"));
    }
    let bound = socket.local_addr()?.as_socket();
    // With port 0 in the configuration whoever created the socket has chosen the port.
    if bound.is_none_or(|bound| bound != address && (address.port() != 0 || bound.ip() != address.ip())) {
        return Err(invalid(&format!("does not listen on {address}")));
    }
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// The only place that takes ownership of a descriptor by its number.
#[allow(unsafe_code)]
fn adopt(fd: RawFd) -> Socket {
    // SAFETY: the caller has checked that the descriptor is open and above the three standard ones. This
    // process has not yet opened any descriptor that it keeps, so whoever started the process passed it for
    // this use, and no other object owns it.
    unsafe { Socket::from_raw_fd(fd) }
}
