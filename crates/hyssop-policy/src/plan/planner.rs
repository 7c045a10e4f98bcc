use super::{lifecycle, wave, Draft, View};
use crate::assign::Assigner;
use hyssop_model::instance::Cause;

/// The planner of one region, which decides on the state and the pool of its instances.
#[derive(Debug, Default)]
pub struct Planner {
    assigner: Assigner,
}

impl Planner {
    /// Decides the next changes, and applies them to `draft`.
    pub fn step(&mut self, view: &View, draft: &mut Draft) {
        self.assigner.observe(view);
        draft.busy = self.assigner.busy(view, draft);
        lifecycle::register(draft, view);
        lifecycle::complete_drains(draft, view);
        lifecycle::apply_operator_drains(draft, view);
        lifecycle::apply_platform_withdrawals(draft, view);
        wave::advance(draft, view);
        for relocation in self.assigner.step(view, draft) {
            draft.drain(
                &relocation.instance,
                Cause::Move,
                Some(relocation.to),
                view.wall_ms,
            );
        }
    }
}
