//! A client connection to a relay.

use super::*;

/// A complete response.
#[derive(Debug)]
pub struct HttpResponse {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl HttpResponse {
    pub fn header(&self, name: &str) -> Option<String> {
        header(&self.head, name)
    }

    /// The version, whether it is a full snapshot, and the name and status of each entry.
    pub fn list(&self) -> (u64, bool, Vec<(String, String)>) {
        assert_eq!(self.status, 200, "{}", String::from_utf8_lossy(&self.body));
        let list: Value = serde_json::from_slice(&self.body).expect("valid JSON");
        let text = |entry: &Value, field: &str| entry[field].as_str().expect("a string").to_owned();
        let entries = list["endpoints"].as_array().expect("an array").iter();
        let entries = entries.map(|entry| (text(entry, "name"), text(entry, "status"))).collect();
        (list["index"].as_u64().expect("a version"), list["snapshot"].as_bool().expect("a flag"), entries)
    }
}

/// An HTTP connection to a relay.
pub struct TestConnection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl TestConnection {
    pub async fn dial(address: SocketAddr) -> TestConnection {
        TestConnection::try_dial(address).await.expect("a connection")
    }

    pub async fn try_dial(address: SocketAddr) -> Option<TestConnection> {
        let stream = timeout(TEST_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
        Some(TestConnection { stream, buffer: Vec::new() })
    }

    pub async fn send(&mut self, host: &str, path: &str) -> Option<()> {
        let request = format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n");
        self.stream.write_all(request.as_bytes()).await.ok()
    }

    /// Reads a response; `None` if the connection is closed first.
    pub async fn read_response(&mut self) -> Option<HttpResponse> {
        timeout(TEST_TIMEOUT, async {
            let head = read_head(&mut self.stream, &mut self.buffer).await?;
            let status = head.split(' ').nth(1)?.parse().ok()?;
            let length: usize = header(&head, "content-length")?.parse().ok()?;
            while self.buffer.len() < length {
                if self.stream.read_buf(&mut self.buffer).await.ok()? == 0 {
                    return None;
                }
            }
            let body = self.buffer.drain(..length).collect();
            Some(HttpResponse { status, head, body })
        })
        .await
        .expect("a response or a close in time")
    }

    pub async fn get(&mut self, host: &str, path: &str) -> Option<HttpResponse> {
        self.send(host, path).await?;
        self.read_response().await
    }

    /// Waits until the connection is closed, and discards what arrives before.
    pub async fn wait_for_close(&mut self) {
        let closed = timeout(TEST_TIMEOUT, async {
            let mut discarded = [0; 4096];
            while !matches!(self.stream.read(&mut discarded).await, Ok(0) | Err(_)) {}
        });
        closed.await.expect("a close in time");
    }
}

pub(super) async fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = buffer.drain(..end + 4).collect();
            return String::from_utf8(head).ok();
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}

pub(super) fn header(head: &str, name: &str) -> Option<String> {
    let mut fields = head.lines().filter_map(|line| line.split_once(':'));
    let found = fields.find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.trim().to_owned())
}
