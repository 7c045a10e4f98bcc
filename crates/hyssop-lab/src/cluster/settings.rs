use super::Options;

/// Returns an entry's settings.
pub(super) fn entry(
    options: &Options,
    name: &str,
    region: &str,
    data_centre: &str,
    platform: &str,
) -> String {
    format!(
        "[process]\nname = {name}\nregion = {region}\ndata_centre = {data_centre}\nplatform = {platform}\nlog = {log}\n\n\
         [limits]\n{limits}\n\n\
         [entry]\ncallers = 127.0.0.1:0\npeers = 127.0.0.1:0\nthreads = {threads}\nallocation = {allocation}\n\
         admission = {admission}\nbalancer_delay = 1500ms\n",
        log = options.log,
        limits = options.limits,
        threads = options.threads,
        allocation = options.allocation,
        admission = options.admission,
    )
}

/// Returns a planner's settings.
pub(super) fn planner(
    options: &Options,
    name: &str,
    region: &str,
    data_centre: &str,
    platform: &str,
) -> String {
    format!(
        "[process]\nname = {name}\nregion = {region}\ndata_centre = {data_centre}\nplatform = {platform}\nlog = {log}\n\
         poll = 250ms\n\n\
         [planner]\nstatus = 127.0.0.1:0\n",
        log = options.log,
    )
}
