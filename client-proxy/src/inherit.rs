//! The listening socket that the platform may pass on, named by its number in the environment.

use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{FromRawFd, RawFd};

use socket2::{Socket, Type};

/// The variable that names the descriptor.
pub const INHERITED_FD_VARIABLE: &str = "GW_INHERITED_FD";
/// Standard input, output and error are nobody's to pass on.
const MIN_PASSABLE_FD: RawFd = 3;

/// Adopts the descriptor that `text` names, which has to listen on `address`. To be called once, before
/// anything else of the program opens descriptors.
///
/// # Errors
/// Says what is wrong with the descriptor; then it is left alone or closed.
pub fn inherited_listener(text: &str, address: SocketAddr) -> io::Result<TcpListener> {
    let invalid = |problem: &str| io::Error::other(format!("{INHERITED_FD_VARIABLE}: {text:?} {problem}"));
    let fd: RawFd = text.parse().map_err(|_| invalid("is no number of a descriptor"))?;
    if fd < MIN_PASSABLE_FD {
        return Err(invalid("is not a descriptor that can be passed on"));
    }
    let link = fs::read_link(format!("/proc/self/fd/{fd}")).map_err(|_| invalid("is not open"))?;
    if !link.to_string_lossy().starts_with("socket:") {
        return Err(invalid("is no socket"));
    }
    let socket = adopt(fd);
    if socket.r#type()? != Type::STREAM || !socket.is_listener()? {
        return Err(invalid("does not listen"));
    }
    let bound = socket.local_addr()?.as_socket();
    // A port of 0 leaves the choice to whoever made the socket.
    if bound.is_none_or(|bound| bound != address && (address.port() != 0 || bound.ip() != address.ip())) {
        return Err(invalid(&format!("listens elsewhere than on {address}")));
    }
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// The one place that takes over a descriptor by its number.
#[allow(unsafe_code)]
fn adopt(fd: RawFd) -> Socket {
    // SAFETY: the caller has seen that it is open, and it is above the standard three. Nothing in this
    // process has opened a descriptor yet that it keeps, so whoever started the process put it there for this
    // use, and no other object owns it.
    unsafe { Socket::from_raw_fd(fd) }
}
