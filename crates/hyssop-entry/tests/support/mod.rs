//! One entry with the stand-ins in this process, on ports of the system's choice.
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
const LONG: Duration = Duration::from_secs(30);

/// Is a running entry; it stops with the test.
pub struct Running {
    pub address: String,
    pub servers: String,
    pub platform: String,
    stop: Option<tokio::sync::oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

/// Is an answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Answer {
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

impl Running {
    /// Starts the stand-ins and an entry, and waits until it is ready.
    pub fn start() -> Self {
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
        fill_tables(&Client::new(platform_url.clone(), 5));
        let (stop, stopped) = tokio::sync::oneshot::channel();
        let (sender, receiver) = mpsc::channel();
        let settings = settings(&platform_url);
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_multi_thread()
                .worker_threads(1)
                .enable_all()
                .build()
                .unwrap();
            let announce = move |member: &Member| sender.send(member.address.clone()).unwrap();
            let stop = async {
                let _ = stopped.await;
            };
            runtime
                .block_on(hyssop_entry::daemon::serve(settings, announce, stop))
                .unwrap();
        });
        let running = Self {
            address: receiver.recv_timeout(LONG).unwrap(),
            servers: servers_url,
            platform: platform_url,
            stop: Some(stop),
            thread: Some(thread),
        };
        running.wait_until("the entry is ready", || {
            let is_ready = running.call("GET", "/health/ready", "", b"").status == 200;
            is_ready && running.get("/work?ms=1").status == 200
        });
        running
    }

    /// Asks again and again until `holds`.
    pub fn wait_until(&self, what: &str, mut holds: impl FnMut() -> bool) {
        let give_up = Instant::now() + LONG;
        while !holds() {
            assert!(Instant::now() < give_up, "it never came that {what}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Sends a request of pool `clerks`.
    pub fn get(&self, path: &str) -> Answer {
        self.get_with(path, "")
    }

    pub fn get_with(&self, path: &str, headers: &str) -> Answer {
        self.call("GET", &format!("/v1/pools/clerks{path}"), headers, b"")
    }

    pub fn post(&self, path: &str, headers: &str, body: &[u8]) -> Answer {
        self.call("POST", &format!("/v1/pools/clerks{path}"), headers, body)
    }

    /// Sends one request on a connection of its own.
    pub fn call(&self, method: &str, path: &str, headers: &str, body: &[u8]) -> Answer {
        let mut stream = self.connect();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\ncontent-length: {}\r\n{headers}\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes()).unwrap();
        // An entry that refuses the head may close before it has read the body.
        let _ = stream.write_all(body);
        read_answer(&mut stream)
    }

    /// Asks for a bound key, and returns it with the header that bears it.
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
        stream.set_read_timeout(Some(LONG)).unwrap();
        stream
    }

    pub fn fault(&self, instance: u32, kind: &str) {
        let url = format!(
            "{}/instances/i-{instance:04}/fault?kind={kind}",
            self.servers
        );
        minreq::post(url).send().unwrap();
    }

    /// Returns the sum of a field over the instances.
    pub fn count(&self, field: &str) -> u64 {
        let response = minreq::get(format!("{}/instances", self.servers))
            .send()
            .unwrap();
        let views: Vec<serde_json::Value> = serde_json::from_slice(response.as_bytes()).unwrap();
        views.iter().map(|view| view[field].as_u64().unwrap()).sum()
    }

    /// Returns how often a request id or a key was started.
    pub fn runs(&self, kind: &str, name: &str) -> u64 {
        let response = minreq::get(format!("{}/executed", self.servers))
            .send()
            .unwrap();
        let executed: serde_json::Value = serde_json::from_slice(response.as_bytes()).unwrap();
        executed[kind][name].as_u64().unwrap_or(0)
    }

    /// Tells the entry to stop and waits until it has.
    pub fn stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            thread.join().unwrap();
        }
    }

    /// Tells the entry to stop and does not wait.
    pub fn begin_stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.begin_stop();
    }
}

pub fn read_answer(stream: &mut TcpStream) -> Answer {
    let mut bytes = Vec::new();
    // A reset after the answer leaves what came before it.
    let _ = stream.read_to_end(&mut bytes);
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
    let end = end.unwrap_or(bytes.len());
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .unwrap_or(0);
    Answer {
        status,
        head,
        body: bytes.get(end + 4..).unwrap_or_default().to_vec(),
    }
}

fn settings(platform: &str) -> Entry {
    let text = format!(
        "[process]\nname = entry-1\nregion = {REGION}\ndata_centre = dc\nplatform = {platform}\npoll = 50ms\n[limits]\nbody \
         = 64KiB\nhead_timeout = 500ms\nbody_timeout = 500ms\n[entry]\ncallers = 127.0.0.1:0\npeers = \
         127.0.0.1:0\nbalancer_delay = 100ms\n"
    );
    Entry::from_document(Document::parse("entry.ini", &text).unwrap()).unwrap()
}

/// Writes what a planner would: the instances, and a configuration in force.
fn fill_tables(client: &Client) {
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
