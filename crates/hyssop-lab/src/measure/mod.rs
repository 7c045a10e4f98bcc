//! The measures, one file each.

mod overhead;

pub(crate) use overhead::overhead;
