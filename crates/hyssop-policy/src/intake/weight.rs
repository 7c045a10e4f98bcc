use hyssop_model::work::{Step, Submission};
use std::mem::size_of;

/// The copies of a decoded job while its request is served: the job, the operation for its owner, and
/// the operation's encoded frame.
const COPIES: usize = 3;

/// Returns the bytes that a decoded job holds while its request is served.
pub fn decoded_bytes(submission: &Submission) -> usize {
    COPIES * submission_bytes(submission)
}

/// Returns the bytes of a decoded job.
pub(crate) fn submission_bytes(submission: &Submission) -> usize {
    let texts = |step: &Step| {
        let optional = [&step.label, &step.rack].into_iter().flatten();
        step.image.len() + optional.map(String::len).sum::<usize>()
    };
    let steps: usize = submission
        .steps
        .iter()
        .map(|step| size_of::<Step>() + texts(step) + step.after.len() * size_of::<usize>())
        .sum();
    size_of::<Submission>() + submission.specification.len() + steps
}
