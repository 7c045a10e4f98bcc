use hyssop_model::{config, epoch, instance};
use hyssop_platform::table::{Row, Table};
use hyssop_platform::{keys, Error};

/// Is what one poll of the table service showed, with the rows for later conditions.
#[derive(Debug, Default)]
pub(super) struct Poll {
    pub(super) epoch_row: Option<Row>,
    pub(super) epoch: Option<epoch::Record>,
    pub(super) head: instance::Head,
    pub(super) config_row: Option<Row>,
    pub(super) config: config::Head,
}

impl Poll {
    /// Reads the rows that every entry watches, in one call.
    pub(super) fn read(table: &dyn Table, region: &str) -> Result<Self, Error> {
        let wanted = [
            keys::epoch(region),
            keys::head(region),
            keys::CONFIG.to_owned(),
        ];
        let mut rows = table.read(&wanted)?.into_iter();
        let mut next = || rows.next().flatten();
        let (epoch_row, head_row, config_row) = (next(), next(), next());
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
