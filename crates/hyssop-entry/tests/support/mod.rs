//! An entry with stand-ins for the platform and the backend servers, all in the test process and
//! on ports that the operating system assigns.
#![allow(dead_code, unreachable_pub)]

use hyssop_config::settings::{Entry, Machines};
use hyssop_config::Document;
use hyssop_model::config::{Head, Version};
use hyssop_model::entry::Member;
use hyssop_model::instance::{self, State};
use hyssop_platform::http::Client;
use hyssop_platform::keys;
use hyssop_platform::object::Object;
use hyssop_platform::roster::Roster;
use hyssop_platform::table::{Condition, Table, Transaction};
use hyssop_standin::{platform, server};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::mpsc;
use std::time::{Duration, Instant};

const FLEET: &str = "[fleet]\nspare = clerks\n[pool clerks]\nsize = 3\nbudget = 1\n";
const REGION: &str = "test";
const TIMEOUT: Duration = Duration::from_secs(30);

/// A running entry, which is stopped when it is dropped.
pub struct TestEntry {
    pub address: String,
    /// The address for links from peers.
    pub peers: String,
    pub servers: String,
    pub platform: String,
    stop: Option<tokio::sync::oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

/// An HTTP response.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    pub fn outcome(&self) -> &str {
        self.header("hyssop-outcome").unwrap_or("none")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

impl TestEntry {
    /// Starts the stand-ins and an entry, and waits until it is ready.
    pub fn start() -> Self {
        Self::start_with("body = 64KiB\nhead_timeout = 500ms\nbody_timeout = 500ms\n")
    }

    /// As `start`, with other lines for the section `limits` of the settings.
    pub fn start_with(limits: &str) -> Self {
        let platform = platform::listen(platform::Options {
            listen: "127.0.0.1:0".to_owned(),
            writes_per_second: 400,
            reads_per_second: 2000,
            lag_ms: 0,
            workers: 2,
            worker_pools: vec!["clerks".to_owned()],
        })
        .unwrap();
        let platform_url = platform.url();
        std::thread::spawn(move || platform.serve());
        let servers = server::start(server::Options {
            machines: Machines {
                region: REGION.to_owned(),
                data_centres: vec!["dc".to_owned()],
                instances: 3,
                per_rack: 1,
                slots: 2,
                connections: 16,
                workers: 0,
            },
            platform: Some(platform_url.clone()),
            listen: "127.0.0.1:0".to_owned(),
            reboot_ms: 100,
            threads: 1,
        })
        .unwrap();
        let servers_url = servers.url();
        std::thread::spawn(move || servers.serve());
        write_planner_rows(&Client::new(platform_url.clone(), 5));
        let (stop, stopped) = tokio::sync::oneshot::channel();
        let (sender, receiver) = mpsc::channel();
        let settings = settings(&platform_url, limits);
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_multi_thread()
                .worker_threads(1)
                .enable_all()
                .build()
                .unwrap();
            let announce = move |member: &Member| {
                let addresses = (member.address.clone(), member.peer_address.clone());
                sender.send(addresses).unwrap();
            };
            let stop = async {
                let _ = stopped.await;
            };
            runtime
                .block_on(hyssop_entry::daemon::serve(settings, announce, stop))
                .unwrap();
        });
        let (address, peers) = receiver.recv_timeout(TIMEOUT).unwrap();
        let entry = Self {
            address,
            peers,
            servers: servers_url,
            platform: platform_url,
            stop: Some(stop),
            thread: Some(thread),
        };
        entry.wait_until("the entry is ready", || {
            let is_ready = entry.call("GET", "/health/ready", "", b"").status == 200;
            is_ready && entry.get("/work?ms=1").status == 200
        });
        entry
    }

    /// Polls until `condition` returns true.
    pub fn wait_until(&self, what: &str, mut condition: impl FnMut() -> bool) {
        let deadline = Instant::now() + TIMEOUT;
        while !condition() {
            assert!(Instant::now() < deadline, "timed out waiting until {what}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Sends a GET request to pool `clerks`.
    pub fn get(&self, path: &str) -> Response {
        self.get_with(path, "")
    }

    pub fn get_with(&self, path: &str, headers: &str) -> Response {
        self.call("GET", &format!("/v1/pools/clerks{path}"), headers, b"")
    }

    pub fn post(&self, path: &str, headers: &str, body: &[u8]) -> Response {
        self.call("POST", &format!("/v1/pools/clerks{path}"), headers, body)
    }

    /// Sends a request on a new connection.
    pub fn call(&self, method: &str, path: &str, headers: &str, body: &[u8]) -> Response {
        let mut stream = self.connect();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\ncontent-length: {}\r\n{headers}\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes()).unwrap();
        // An entry that rejects the head may close the connection before it has read the body.
        let _ = stream.write_all(body);
        read_response(&mut stream)
    }

    /// Mints a key that is bound to the entry, and returns it with its header line.
    pub fn mint_key(&self) -> (String, String) {
        let key = self
            .call("POST", "/v1/keys", "", b"")
            .text()
            .trim()
            .to_owned();
        let header = format!("idempotency-key: {key}\r\n");
        (key, header)
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(&self.address).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream
    }

    /// Makes an instance fail in the given way.
    pub fn inject_fault(&self, instance: u32, kind: &str) {
        let url = format!(
            "{}/instances/i-{instance:04}/fault?kind={kind}",
            self.servers
        );
        minreq::post(url).send().unwrap();
    }

    /// Returns the sum of a counter over the instances.
    pub fn sum_of(&self, field: &str) -> u64 {
        let response = minreq::get(format!("{}/instances", self.servers))
            .send()
            .unwrap();
        let views: Vec<serde_json::Value> = serde_json::from_slice(response.as_bytes()).unwrap();
        views.iter().map(|view| view[field].as_u64().unwrap()).sum()
    }

    /// Returns how many times a request was started on the instances, by request id or by key.
    pub fn starts_of(&self, kind: &str, name: &str) -> u64 {
        let response = minreq::get(format!("{}/executed", self.servers))
            .send()
            .unwrap();
        let executed: serde_json::Value = serde_json::from_slice(response.as_bytes()).unwrap();
        executed[kind][name].as_u64().unwrap_or(0)
    }

    /// Stops the entry and waits until it has ended.
    pub fn stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            thread.join().unwrap();
        }
    }

    /// Stops the entry without waiting.
    pub fn begin_stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
    }
}

impl Drop for TestEntry {
    fn drop(&mut self) {
        self.begin_stop();
    }
}

pub fn read_response(stream: &mut TcpStream) -> Response {
    let mut bytes = Vec::new();
    // A connection reset after the response does not discard the bytes read before it.
    let _ = stream.read_to_end(&mut bytes);
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
    let end = end.unwrap_or(bytes.len());
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .unwrap_or(0);
    Response {
        status,
        head,
        body: bytes.get(end + 4..).unwrap_or_default().to_vec(),
    }
}

fn settings(platform: &str, limits: &str) -> Entry {
    let text = format!(
        "[process]\nname = entry-1\nregion = {REGION}\ndata_centre = dc\nplatform = {platform}\npoll = 50ms\n[limits]\n\
         {limits}[entry]\ncallers = 127.0.0.1:0\npeers = \
         127.0.0.1:0\nbalancer_delay = 100ms\n"
    );
    Entry::from_document(Document::parse("entry.ini", &text).unwrap()).unwrap()
}

/// Writes the rows of a planner: the instances and an accepted configuration.
fn write_planner_rows(client: &Client) {
    let listings = loop {
        let listings = client.list().unwrap();
        if listings.len() == 3 {
            break listings;
        }
        std::thread::sleep(Duration::from_millis(50));
    };
    let mut head = instance::Head::default();
    let revision = head.advance(listings.iter().map(|listing| listing.name.as_str()));
    let mut transaction = Transaction::new("fill")
        .require(Condition::absent(&keys::head(REGION)))
        .put(&keys::head(REGION), &head);
    for listing in listings {
        let record = instance::Record {
            key: listing.key,
            name: listing.name,
            address: listing.address,
            rack: listing.rack,
            data_centre: listing.data_centre,
            slots: listing.slots,
            connections: listing.connections,
            pool: "clerks".to_owned(),
            state: State::Serving,
            moving_to: None,
            cause: None,
            maintained_ms: 0,
            boots: 1,
            revision,
        };
        transaction = transaction.put(&keys::instance(REGION, &record.name), &record);
    }
    client.put("first", FLEET).unwrap();
    let config = Head {
        accepted: Version {
            number: 1,
            object: "first".to_owned(),
            ..Version::default()
        },
        proposed: None,
        last_number: 1,
    };
    client
        .commit(&transaction.put(keys::CONFIG, &config))
        .unwrap();
}
