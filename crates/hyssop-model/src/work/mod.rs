//! Jobs, the workers that run their tasks, and the instances that run the workers.
//!
//! These types are independent of any platform; an adapter translates a platform's names into them
//! where its messages are decoded.

mod account;
mod address;
mod advice_time;
mod configuration;
mod exclusion;
mod instance;
mod outcome;
mod phase;
mod pool;
mod queue;
mod report;
mod resources;
mod schedule;
mod secret;
mod step;
mod submission;
mod task;
mod wave;
mod worker;

pub use account::Account;
pub use address::Address;
pub use advice_time::AdviceTime;
pub use configuration::Configuration;
pub use exclusion::{Exclusion, Reason};
pub use instance::{Condition, Instance};
pub use outcome::Outcome;
pub use phase::Phase;
pub use pool::Pool;
pub use queue::Queue;
pub use report::{Completion, Report, Running};
pub use resources::Resources;
pub use schedule::Schedule;
pub use secret::Secret;
pub use step::Step;
pub use submission::Submission;
pub use task::Task;
pub use wave::Wave;
pub use worker::Worker;
