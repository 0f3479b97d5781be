//! The plot: work of the replicas and time to in force, by the number of daemons.

use super::table::Row;
use crate::bench::scale::measure::SizeFigures;
use plotters::prelude::*;
use std::path::Path;

/// Size of the picture in points.
const SIZE: (u32, u32) = (1000, 460);

/// One curve of a panel.
struct Curve {
    label: &'static str,
    color: RGBColor,
    points: Vec<(f64, f64)>,
}

/// Draws the plot; the text says what went wrong.
///
/// # Errors
/// The drawing library's, as text.
pub fn draw(file: &Path, sizes: &[SizeFigures]) -> Result<(), String> {
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|error| error.to_string())?;
    let (left, right) = area.split_horizontally(SIZE.0 / 2);
    let idle = |s: &SizeFigures| Row::of(s.daemons, "idle", &s.idle);
    let changes = |s: &SizeFigures| Row::of(s.daemons, "changes", &s.changes);
    let work = [
        curve("leader at rest", BLUE, sizes, |s| {
            idle(s).leader_core_percent
        }),
        curve("follower at rest", CYAN, sizes, |s| {
            idle(s).follower_core_percent
        }),
        curve("leader, bundles published", RED, sizes, |s| {
            changes(s).leader_core_percent
        }),
        curve("follower, bundles published", MAGENTA, sizes, |s| {
            changes(s).follower_core_percent
        }),
    ];
    let delays = [
        curve("half of the daemons", BLUE, sizes, |s| changes(s).delay_p50),
        curve("99 in 100", RED, sizes, |s| changes(s).delay_p99),
        curve("all", BLACK, sizes, |s| changes(s).delay_max),
    ];
    panel(
        &left,
        "Processor time of a replica",
        "percent of a core",
        &work,
    )?;
    panel(&right, "From accepted to in force", "seconds", &delays)?;
    area.present().map_err(|error| error.to_string())
}

fn curve(
    label: &'static str,
    color: RGBColor,
    sizes: &[SizeFigures],
    value: impl Fn(&SizeFigures) -> f64,
) -> Curve {
    let points = sizes.iter().map(|size| (size.daemons as f64, value(size)));
    Curve {
        label,
        color,
        points: points.collect(),
    }
}

fn panel<B: DrawingBackend>(
    area: &DrawingArea<B, plotters::coord::Shift>,
    title: &str,
    unit: &str,
    curves: &[Curve],
) -> Result<(), String> {
    let points = curves.iter().flat_map(|curve| &curve.points);
    let (right, top) = points.fold((1.0_f64, 0.0_f64), |(x, y), point| {
        (x.max(point.0), y.max(point.1))
    });
    let top = if top > 0.0 { top * 1.1 } else { 1.0 };
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..right * 1.02, 0.0..top)
        .map_err(|error| error.to_string())?;
    chart
        .configure_mesh()
        .x_desc("daemons")
        .y_desc(unit)
        .draw()
        .map_err(|error| error.to_string())?;
    for curve in curves {
        let (color, points) = (curve.color, curve.points.iter().copied());
        let line = LineSeries::new(points, color.stroke_width(2)).point_size(3);
        chart
            .draw_series(line)
            .map_err(|error| error.to_string())?
            .label(curve.label)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(|error| error.to_string())
}
