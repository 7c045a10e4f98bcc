//! A small HTTP server whose calls are handled one thread a connection.

use crate::wire::{read_message, Message};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;

/// What becomes of a call.
pub enum Answer {
    Body(u16, String),
    /// The call is never answered.
    Nothing,
}

pub fn response(status: u16, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n\
         {body}"
    )
    .into_bytes()
}

/// Serves `handle`, which gets the path and the call, on a free loopback port.
pub fn serve(
    handle: impl Fn(&str, &Message) -> Answer + Send + Sync + 'static,
) -> Option<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").ok()?;
    let address = listener.local_addr().ok()?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                while let Some(call) = read_message(&mut stream) {
                    let path = call.first.split(' ').nth(1).unwrap_or("").to_owned();
                    match handle(&path, &call) {
                        Answer::Body(status, body) => {
                            if stream.write_all(&response(status, &body)).is_err() {
                                return;
                            }
                        }
                        // Until the caller gives up: the channel delivers nothing further.
                        Answer::Nothing => while read_message(&mut stream).is_some() {},
                    }
                }
            });
        }
    });
    Some(address)
}
