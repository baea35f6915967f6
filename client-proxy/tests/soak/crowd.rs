//! A crowd of clients that write slowly, stop in the middle of a request, rest, read slowly or flood.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use rand_core::Rng;
use rand_pcg::Pcg32;

use super::common::{READY_REQUEST, look_request, post};

fn draw_text(random: &mut Pcg32) -> Vec<u8> {
    let mut below = |limit: u32| random.next_u32() % limit;
    let fields: String = (0..below(90)).map(|n| format!("a{n}:\r\n")).collect();
    let head = post("pay", 800, "", "").split("Content-Length").next().unwrap_or_default().to_owned();
    let text = match below(7) {
        0 => String::new(),
        1 => head + &fields,
        2 => head + "X-Long: " + &"y".repeat(below(15_000) as usize),
        3 => head + &fields + "Content-Length: 300000\r\n\r\n" + &"z".repeat(below(200_000) as usize),
        4 => {
            head + &fields
                + "Transfer-Encoding: chunked\r\n\r\n40000\r\n"
                + &"z".repeat(below(200_000) as usize)
        }
        5 => look_request(800).replace("\r\n\r\n", &format!("\r\n{fields}\r\n")),
        _ => READY_REQUEST.repeat(200),
    };
    text.into_bytes()
}

/// Connects so many clients at once, which go on slowly until the play is over, or the client proxy has closed all.
pub fn run(address: SocketAddr, clients: usize, random: &mut Pcg32, until: Instant) {
    let connect = |random: &mut Pcg32| {
        let mut stream = TcpStream::connect(address).ok()?;
        stream.set_nonblocking(true).ok()?;
        // What the system does not take of it is left out: the client has stopped in the middle.
        let _ = stream.write(&draw_text(random));
        Some(stream)
    };
    let mut streams: Vec<TcpStream> = (0..clients).filter_map(|_| connect(random)).collect();
    while Instant::now() < until && !streams.is_empty() {
        std::thread::sleep(Duration::from_millis(100));
        streams.retain_mut(|stream| {
            let is_closed = matches!(stream.read(&mut [0; 512]), Ok(0));
            !is_closed && stream.write(b"z").is_ok_and(|written| written > 0)
        });
    }
}
