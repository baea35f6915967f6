//! A client connection to the program under test.

use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

use super::*;

/// One client connection.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("could not connect");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("could not set the read timeout");
        Client { reader: BufReader::new(stream.try_clone().expect("could not clone the socket")), stream }
    }

    pub fn write(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("could not write");
    }

    /// Reads the next response; `None` if the client proxy has closed the connection.
    pub fn read(&mut self) -> Option<Message> {
        read_message(&mut self.reader)
    }

    /// Reads to the end of the stream. True if the client proxy closes or resets the connection, false if
    /// the read fails otherwise, as by its timeout.
    pub fn read_until_closed(&mut self) -> bool {
        match self.reader.read_to_end(&mut Vec::new()) {
            Ok(_) => true,
            Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }

    pub fn round_trip(&mut self, text: &str) -> Message {
        self.write(text);
        self.read().expect("no response")
    }

    /// Closes the connection at once. Dropping the stream may close it late: a program that another test
    /// starts holds copies of all descriptors until it has executed.
    pub fn close(self) {
        self.stream.shutdown(Shutdown::Both).expect("could not close the connection");
    }

    /// Resets the connection at once, as [`Client::close`] closes it.
    pub fn reset(self) {
        rustix::net::connect_unspec(&self.stream).expect("could not reset the connection");
    }
}

/// Waits until the client proxy has processed everything sent before: it has once it responds to a later
/// request that needs no endpoint.
pub fn wait_until_processed(proxy: &Proxy) {
    assert_eq!(proxy.client().round_trip(READY_REQUEST).status(), 200);
}

/// Asserts that the next ten responses all come from the upstream of this name.
pub fn assert_served_by(client: &mut Client, name: &str) {
    for _ in 0..10 {
        let body = client.round_trip(&look_request(3000)).body;
        assert_eq!(String::from_utf8_lossy(&body), name);
    }
}
