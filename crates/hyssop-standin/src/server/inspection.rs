use super::listing::listing;
use super::{Executed, Fault, Instance};
use hyssop_platform::roster::Listing;
use serde::{Deserialize, Serialize};
use std::sync::atomic::Ordering::SeqCst;
use std::sync::Arc;
use tiny_http::{Method, Request, Response};

/// Is what an instance counted.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InstanceView {
    /// The name.
    pub name: String,
    /// The rack.
    pub rack: String,
    /// The requests in progress.
    pub in_progress: u32,
    /// The most requests that ever were in progress.
    pub most_in_progress: u32,
    /// The requests that came while all slots were in use.
    pub over_slots: u64,
    /// The most connections that ever were open.
    pub most_connections: u32,
    /// The connections that came beyond the limit.
    pub over_connections: u64,
    /// The requests started.
    pub starts: u64,
    /// The time that requests were in progress, in microseconds, summed over slots.
    pub busy_us: u64,
    /// The wall clock at the last start, in microseconds; 0 for none.
    pub last_start_us: u64,
    /// The requests cut off by reboots and refusals.
    pub cut_off: u64,
    /// The number of boots.
    pub boots: u64,
}

impl InstanceView {
    fn of(instance: &Instance) -> Self {
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

/// Answers inspection requests, one after another.
pub(super) struct Inspection {
    pub(super) instances: Vec<Arc<Instance>>,
    pub(super) executed: Arc<Executed>,
}

impl Inspection {
    pub(super) fn serve(&self, server: &tiny_http::Server) {
        for request in server.incoming_requests() {
            let response = self.answer(&request);
            // Whoever asked may have stopped waiting.
            let _ = request.respond(response);
        }
    }

    fn answer(&self, request: &Request) -> Response<std::io::Cursor<Vec<u8>>> {
        let url = request.url().to_owned();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (request.method(), parts.as_slice()) {
            (Method::Get, ["executed"]) => json(&self.executed.snapshot()),
            (Method::Get, ["instances"]) => {
                let views = self
                    .instances
                    .iter()
                    .map(|instance| InstanceView::of(instance));
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
            let message = "the fault is not known; use refuse, hang, fail, slow or none\n";
            return Response::from_string(message).with_status_code(400);
        };
        instance.set_fault(kind);
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
    Response::from_string("there is nothing here\n").with_status_code(404)
}
