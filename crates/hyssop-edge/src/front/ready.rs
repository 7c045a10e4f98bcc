use crate::node::Node;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use std::rc::Rc;

/// Answers the balancer's probe: ready once a configuration is in force, until the stop.
pub(crate) async fn probe(node: Rc<Node>, _request: Request<Incoming>) -> Response<Full<Bytes>> {
    let is_ready = node.configuration.borrow().version > 0 && !node.is_stopping.get();
    let mut response = Response::new(Full::default());
    if !is_ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
