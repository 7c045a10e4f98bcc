//! A small HTTP/1.1 server and client on loopback.

use crate::json::Json;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

pub struct Request {
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub bytes: usize,
    pub body: Json,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
    pub fn parameter(&self, name: &str) -> String {
        let pair = self.query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then_some(value)
        });
        decode(pair.unwrap_or(""))
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            if let Ok(byte) = u8::from_str_radix(&text[at + 1..at + 3], 16) {
                out.push(byte);
                at += 3;
                continue;
            }
        }
        out.push(bytes[at]);
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// What a server does with a request.
pub enum Reply {
    Answer(u16, Json),
    /// The channel is reset or closed without an answer.
    Close,
    /// The channel stays open without an answer.
    Hang,
}

pub type Handler = Arc<dyn Fn(&Request) -> Reply + Send + Sync>;

/// Serves `handler` on a free loopback port.
pub fn serve(handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
    let address = listener.local_addr().expect("a bound address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = serve_stream(stream, &handler);
            });
        }
    });
    address
}

fn serve_stream(stream: TcpStream, handler: &Handler) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let Some(request) = read_request(&mut reader)? else {
            return Ok(());
        };
        match handler(&request) {
            Reply::Answer(status, body) => {
                let body = body.text();
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                writer.write_all((head + &body).as_bytes())?;
            }
            Reply::Close => {
                let _ = writer.shutdown(std::net::Shutdown::Both);
                return Ok(());
            }
            Reply::Hang => {
                // Delivers nothing further; ends when the caller closes the channel.
                let mut rest = [0; 1024];
                while reader.read(&mut rest)? > 0 {}
                return Ok(());
            }
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let target = words.nth(1).unwrap_or("").to_owned();
    let (headers, length) = read_headers(reader)?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    Ok(Some(Request {
        path: path.to_owned(),
        query: query.to_owned(),
        headers,
        bytes: length,
        body: Json::parse(&String::from_utf8_lossy(&body)).unwrap_or(Json::Null),
    }))
}

fn read_headers(
    reader: &mut BufReader<TcpStream>,
) -> std::io::Result<(Vec<(String, String)>, usize)> {
    let mut headers = Vec::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok((headers, length));
        }
        if let Some((name, value)) = line.split_once(':') {
            let value = value.trim().to_owned();
            if name.eq_ignore_ascii_case("content-length") {
                length = value.parse().unwrap_or(0);
            }
            headers.push((name.to_owned(), value));
        }
    }
}

/// Makes one call on a channel of its own; returns `None` if there is no complete answer in time.
pub fn call(
    address: SocketAddr,
    host: &str,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, Json)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         X-Hyssopworks-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
        timeout.as_millis(),
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let (_, length) = read_headers(&mut reader).ok()?;
    let mut bytes = vec![0; length];
    reader.read_exact(&mut bytes).ok()?;
    let body = Json::parse(&String::from_utf8_lossy(&bytes)).unwrap_or(Json::Null);
    Some((status, body))
}
