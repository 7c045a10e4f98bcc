use crate::error::{CallSnafu, Error};
use plotters::prelude::*;

/// A bar of a bar chart.
#[derive(Clone, Debug)]
pub(crate) struct Bar {
    pub(crate) name: String,
    /// The height, in percent.
    pub(crate) percent: f64,
}

const WIDTH: u32 = 900;
const HEIGHT: u32 = 420;

/// Draws a bar chart of percentages to `docs/plots/NAME.svg`.
///
/// # Errors
///
/// Fails if the file cannot be written.
pub(crate) fn draw_bars(name: &str, title: &str, bars: &[Bar]) -> Result<(), Error> {
    let path = format!("docs/plots/{name}.svg");
    let plot_error = |reason: String| CallSnafu { url: &path, reason }.build();
    std::fs::create_dir_all("docs/plots").map_err(|error| plot_error(error.to_string()))?;
    let area = SVGBackend::new(&path, (WIDTH, HEIGHT)).into_drawing_area();
    draw(&area, title, bars).map_err(|error| plot_error(error.to_string()))?;
    area.present()
        .map_err(|error| plot_error(error.to_string()))
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;
type DrawError = Box<dyn std::error::Error>;

fn draw(area: &Area<'_>, title: &str, bars: &[Bar]) -> Result<(), DrawError> {
    const TITLE_SIZE: i32 = 20;
    const LABEL_SIZE: u32 = 40;
    const FULL_PERCENT: f64 = 100.0;
    area.fill(&WHITE)?;
    let count = bars.len() as f64;
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", TITLE_SIZE))
        .margin(10)
        .x_label_area_size(LABEL_SIZE)
        .y_label_area_size(LABEL_SIZE)
        .build_cartesian_2d(0.0..count, 0.0..FULL_PERCENT)?;
    let label = |position: &f64| {
        let bar = bars.get(*position as usize);
        let is_centre = (position.fract() - 0.5).abs() < 0.01;
        bar.filter(|_| is_centre)
            .map_or(String::new(), |bar| bar.name.clone())
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(2 * bars.len() + 1)
        .x_label_formatter(&label)
        .y_desc("percent")
        .draw()?;
    chart.draw_series(bars.iter().enumerate().map(|(index, bar)| {
        let left = index as f64 + 0.2;
        let right = index as f64 + 0.8;
        Rectangle::new(
            [(left, 0.0), (right, bar.percent.min(FULL_PERCENT))],
            BLUE.mix(0.6).filled(),
        )
    }))?;
    Ok(())
}
