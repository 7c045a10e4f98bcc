//! Kinds of events.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// The kind of an event.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display, EnumString,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A process started.
    ProcessStarted,
    /// A process is stopping.
    ProcessStopping,
    /// A process has stopped.
    ProcessStopped,
    /// A lease was acquired.
    LeaseGained,
    /// A lease was lost or released.
    LeaseLost,
    /// A membership epoch was adopted.
    EpochAdopted,
    /// A membership epoch was written.
    EpochWritten,
    /// A connection to a peer was opened.
    PeerUp,
    /// A connection to a peer was lost.
    PeerDown,
    /// The platform became unavailable.
    StoreDown,
    /// The platform is available again.
    StoreUp,
    /// A request was sent to an instance.
    RequestSent,
    /// A request ended.
    RequestEnded,
    /// An instance's row changed.
    InstanceChanged,
    /// An instance was excluded from serving requests.
    InstanceEjected,
    /// An instance serves requests again.
    InstanceReturned,
    /// A drain was requested.
    DrainAsked,
    /// A drain completed.
    DrainComplete,
    /// A disruption is waiting for budget.
    DisruptionWaits,
    /// The reboot of an instance was requested.
    RebootAsked,
    /// A configuration was proposed.
    ConfigProposed,
    /// A configuration was accepted.
    ConfigAccepted,
    /// A configuration came into force in this process.
    ConfigInForce,
    /// Claims on keys were handed over.
    ClaimsHandedOver,
    /// A maintenance wave changed.
    WaveChanged,
    /// The state of a job changed.
    JobChanged,
    /// A worker is suspected of being unhealthy and gets no more jobs.
    WorkerSuspected,
}
