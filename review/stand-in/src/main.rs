//! Runs one case of the review: `review-stand-in CASE RECORD`; `TROUBLE=0` leaves the disruption
//! out.

mod cases;
mod cluster;
mod http;
mod json;
mod record;
mod store;
mod worker;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let record = arguments.next().unwrap_or_else(|| "record.txt".to_owned());
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    match case.as_str() {
        "label" => cases::label::run(trouble, &record),
        "large" => cases::large::run(trouble, &record),
        "past" => cases::past::run(trouble, &record),
        "timed" => cases::timed::run(trouble, &record),
        "route" => cases::route::run(trouble, &record),
        "limit" => cases::limit::run(trouble, &record),
        "kind" => cases::kind::run(trouble, &record),
        "takeover" => cases::takeover::run(trouble, &record),
        other => cluster::cannot_run(&format!("no case {other}")),
    }
}
