//! What can happen in a process.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Names an event of the time line.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display, EnumString,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A process started.
    ProcessStarted,
    /// A process stops.
    ProcessStopping,
    /// A process has stopped.
    ProcessStopped,
    /// A lease was gained.
    LeaseGained,
    /// A lease was lost or given up.
    LeaseLost,
    /// A membership epoch was adopted.
    EpochAdopted,
    /// A membership epoch was written.
    EpochWritten,
    /// A link to a peer was opened.
    PeerUp,
    /// A link to a peer was lost.
    PeerDown,
    /// The platform could not be used.
    StoreDown,
    /// The platform can be used again.
    StoreUp,
    /// A request was sent to an instance.
    RequestSent,
    /// A request ended.
    RequestEnded,
    /// An instance's row changed.
    InstanceChanged,
    /// An instance is no longer used for requests.
    InstanceEjected,
    /// An instance is used for requests again.
    InstanceReturned,
    /// A drain was asked for.
    DrainAsked,
    /// A drain is complete.
    DrainComplete,
    /// A disruption waits for the budget.
    DisruptionWaits,
    /// An instance was told to reboot.
    RebootAsked,
    /// A configuration was proposed.
    ConfigProposed,
    /// A configuration was accepted.
    ConfigAccepted,
    /// A configuration came into force here.
    ConfigInForce,
    /// Claims were handed over.
    ClaimsHandedOver,
    /// A maintenance wave changed.
    WaveChanged,
    /// A job changed its state.
    JobChanged,
    /// A worker is no longer given jobs.
    WorkerSuspected,
}
