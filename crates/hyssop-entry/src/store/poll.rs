use hyssop_model::{config, epoch, instance};
use hyssop_platform::table::{Row, Table};
use hyssop_platform::{keys, Error};

/// The result of one poll of the table service, with the rows that later transactions use as
/// conditions.
#[derive(Debug, Default)]
pub(super) struct PollResult {
    pub(super) epoch_row: Option<Row>,
    pub(super) epoch: Option<epoch::Record>,
    pub(super) head: instance::Head,
    pub(super) config_row: Option<Row>,
    pub(super) config: config::Head,
}

impl PollResult {
    /// Reads the rows that every entry polls, in a single call.
    pub(super) fn read(table: &dyn Table, region: &str) -> Result<Self, Error> {
        let row_keys = [
            keys::epoch(region),
            keys::head(region),
            keys::CONFIG.to_owned(),
        ];
        let mut rows = table.read(&row_keys)?.into_iter();
        let mut next_row = || rows.next().flatten();
        let (epoch_row, head_row, config_row) = (next_row(), next_row(), next_row());
        Ok(Self {
            epoch: epoch_row.as_ref().map(Row::parse).transpose()?,
            head: head_row
                .as_ref()
                .map_or(Ok(instance::Head::default()), Row::parse)?,
            config: config_row
                .as_ref()
                .map_or(Ok(config::Head::default()), Row::parse)?,
            epoch_row,
            config_row,
        })
    }
}
