//! A stand-in for the platform's balancer: requests go in turn to the ready entries.

mod ring;

pub use ring::Balancer;
