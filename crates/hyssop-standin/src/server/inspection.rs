use super::listing::listing;
use super::{ExecutionCounter, Fault, Instance};
use hyssop_platform::roster::Listing;
use serde::{Deserialize, Serialize};
use std::sync::atomic::Ordering::SeqCst;
use std::sync::Arc;
use tiny_http::{Method, Request, Response};

/// The identity, gauges and counters of one instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InstanceView {
    /// The instance's name.
    pub name: String,
    /// The instance's rack.
    pub rack: String,
    /// The number of requests in progress.
    pub in_progress: u32,
    /// The highest number of requests in progress at one time.
    pub most_in_progress: u32,
    /// The number of requests rejected because all slots were in use.
    pub over_slots: u64,
    /// The highest number of connections open at one time, including those above the limit.
    pub most_connections: u32,
    /// The number of connections closed because the limit was exceeded.
    pub over_connections: u64,
    /// The number of requests started.
    pub starts: u64,
    /// The time for which slots were in use, in microseconds, summed over the slots.
    pub busy_us: u64,
    /// The Unix time of the last start, in microseconds; 0 before the first one.
    pub last_start_us: u64,
    /// The number of requests cut off by reboots and by the fault `refuse`.
    pub cut_off: u64,
    /// The number of boots, including the first one.
    pub boots: u64,
}

impl InstanceView {
    fn from_instance(instance: &Instance) -> Self {
        Self {
            name: instance.name.clone(),
            rack: instance.rack.clone(),
            in_progress: instance.in_progress.load(SeqCst),
            most_in_progress: instance.most_in_progress.load(SeqCst),
            over_slots: instance.over_slots.load(SeqCst),
            most_connections: instance.most_connections.load(SeqCst),
            over_connections: instance.over_connections.load(SeqCst),
            starts: instance.starts.load(SeqCst),
            busy_us: instance.busy_us.load(SeqCst),
            last_start_us: instance.last_start_us.load(SeqCst),
            cut_off: instance.cut_off.load(SeqCst),
            boots: instance.boots.load(SeqCst),
        }
    }
}

/// The HTTP interface for tests: reads counters, injects faults and reboots instances.
///
/// Requests are handled one after another.
pub(super) struct Inspection {
    pub(super) instances: Vec<Arc<Instance>>,
    pub(super) executions: Arc<ExecutionCounter>,
}

impl Inspection {
    pub(super) fn serve(&self, server: &tiny_http::Server) {
        for request in server.incoming_requests() {
            let response = self.handle(&request);
            // Sending fails if the client has disconnected, which needs no handling.
            let _ = request.respond(response);
        }
    }

    fn handle(&self, request: &Request) -> Response<std::io::Cursor<Vec<u8>>> {
        let url = request.url().to_owned();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (request.method(), segments.as_slice()) {
            (Method::Get, ["executed"]) => json(&self.executions.snapshot()),
            (Method::Get, ["instances"]) => {
                let views = self
                    .instances
                    .iter()
                    .map(|instance| InstanceView::from_instance(instance));
                json(&views.collect::<Vec<_>>())
            }
            (Method::Get, ["roster"]) => json(&self.roster()),
            (Method::Post, ["instances", name, "fault"]) => self.set_fault(name, query),
            (Method::Post, ["instances", name, "reboot"]) => match self.find(name) {
                Some(instance) => {
                    instance.reboot();
                    json(&"rebooting")
                }
                None => not_found(),
            },
            _ => not_found(),
        }
    }

    fn roster(&self) -> Vec<Listing> {
        self.instances
            .iter()
            .map(|instance| listing(instance))
            .collect()
    }

    fn set_fault(&self, name: &str, query: &str) -> Response<std::io::Cursor<Vec<u8>>> {
        let Some(instance) = self.find(name) else {
            return not_found();
        };
        let kind = query
            .strip_prefix("kind=")
            .and_then(|kind| kind.parse::<Fault>().ok());
        let Some(kind) = kind else {
            let message = "unknown fault; use refuse, hang, fail, slow or none\n";
            return Response::from_string(message).with_status_code(400);
        };
        instance.set_fault(kind);
        if kind == Fault::Refuse {
            instance.wait_until_down();
        }
        json(&kind.to_string())
    }

    fn find(&self, name: &str) -> Option<&Arc<Instance>> {
        self.instances.iter().find(|instance| instance.name == name)
    }
}

fn json<T: Serialize>(value: &T) -> Response<std::io::Cursor<Vec<u8>>> {
    Response::from_data(serde_json::to_vec(value).unwrap_or_default())
}

fn not_found() -> Response<std::io::Cursor<Vec<u8>>> {
    Response::from_string("no such path or instance\n").with_status_code(404)
}
