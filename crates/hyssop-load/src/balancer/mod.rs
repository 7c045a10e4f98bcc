//! A stand-in for the platform's balancer, which sends requests round-robin to the ready entries.

mod ring;

pub use ring::Balancer;
