//! Versions of the fleet configuration.

mod head;

pub use head::{Head, Version};
