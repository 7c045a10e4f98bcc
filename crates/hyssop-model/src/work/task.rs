use std::fmt;
use std::str::FromStr;

/// The name of a task: job, occurrence, step and index.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Task {
    /// The job's identifier.
    pub job: String,
    /// The occurrence's number; 0 for a job that runs once.
    pub occurrence: u32,
    /// The step's number.
    pub step: u32,
    /// The task's number within the step.
    pub index: u32,
}

impl fmt::Display for Task {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}.{}.{}.{}",
            self.job, self.occurrence, self.step, self.index
        )
    }
}

impl FromStr for Task {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let mut parts = text.rsplitn(4, '.');
        let mut number = || parts.next().and_then(|part| part.parse().ok()).ok_or(());
        let (index, step, occurrence) = (number()?, number()?, number()?);
        let job = parts.next().ok_or(())?.to_owned();
        Ok(Self {
            job,
            occurrence,
            step,
            index,
        })
    }
}
