use super::target::Target;
use crate::peer::Link;
use hyssop_policy::failover::Watch;
use std::rc::Rc;
use std::time::Duration;

/// A process that this one watches.
pub(super) struct Watched {
    pub(super) target: Target,
    pub(super) link: Rc<Link>,
    pub(super) watch: Watch,
    /// How many times others were asked whether they reach it.
    pub(super) probe_rounds: usize,
}

impl Watched {
    /// Starts to watch a process at `now`, over a link to it.
    pub(super) fn new(target: Target, link: Rc<Link>, now: Duration) -> Self {
        let watch = if target.is_reported {
            Watch::reported(now)
        } else {
            Watch::new(now)
        };
        Self {
            target,
            link,
            watch,
            probe_rounds: 0,
        }
    }
}
