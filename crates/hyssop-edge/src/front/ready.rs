use super::Keyring;
use crate::intake::Inbound;
use crate::node::Node;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode};
use std::rc::Rc;

const METRICS_PATH: &str = "/metrics";

/// Handles the balancer's readiness probe and requests for metrics.
///
/// The process is ready once it knows a configuration and the pools with jobs, until it starts to stop,
/// and while it can decide about callers' keys.
pub(crate) async fn probe(node: Rc<Node>, request: Request<Inbound>) -> Response<Full<Bytes>> {
    if request.uri().path() == METRICS_PATH {
        node.metrics.set_terms(&node.status().owned);
        node.metrics.set_links(node.links.count());
        node.metrics.set_configuration_age(Keyring::age(&node));
        node.metrics.forecasts.reset();
        for (pool, driver) in node.drivers.borrow().iter() {
            driver.report_forecasts(pool, &node.metrics.forecasts);
        }
        node.metrics.set_accounts(&node.account_states());
        node.guard.measure(node.job_bytes());
        return Response::new(Full::new(Bytes::from(node.metrics.text())));
    }
    let has_started = node.configuration.borrow().version > 0 && node.knows_pools();
    let is_ready = has_started && !node.is_stopping.get() && node.keyring.is_ready(&node);
    let mut response = Response::new(Full::default());
    if !is_ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
