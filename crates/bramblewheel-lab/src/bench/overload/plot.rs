//! Goodput over time as SVG.

use super::trials::TrialResult;
use crate::error::CommandError;
use bramblewheel_sim::requests::LayerKind;
use bramblewheel_sim::requests::measure::{BUCKET, Measurement};
use bramblewheel_sim::requests::overload::{
    CAUSE_BEGINS, CAUSE_ENDS, LOAD_ENDS, SLOWDOWN, Subject,
};
use bramblewheel_types::{Criticality, Timestamp};
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;
use std::error::Error;
use std::path::Path;

const SIZE: (u32, u32) = (1_000, 560);
/// Buckets over which the lines are averaged: half a second.
const SMOOTHED_OVER: usize = 5;
/// Colours that colour-blind readers can tell apart (Okabe and Ito).
const COLOURS: [RGBColor; 4] = [
    RGBColor(213, 94, 0),
    RGBColor(230, 159, 0),
    RGBColor(0, 114, 178),
    RGBColor(0, 158, 115),
];
const OFFERED: RGBColor = RGBColor(110, 110, 110);
const SHADE: RGBColor = RGBColor(255, 226, 204);

struct Line {
    label: String,
    colour: RGBColor,
    points: Vec<(f64, f64)>,
}

type Canvas<'a> = ChartContext<'a, SVGBackend<'a>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// Writes two plots: all layers, and bramblewheel by class. The first seed is shown.
pub fn write(
    folder: &Path,
    deployment: &str,
    subject: &Subject,
    surge: f64,
    results: &[TrialResult],
) -> Result<(), CommandError> {
    let shown: Vec<&TrialResult> = LayerKind::ALL
        .into_iter()
        .filter_map(|kind| {
            let mut of_kind = results.iter().filter(|r| r.trial.kind == kind);
            of_kind.find(|r| r.trial.surge == surge)
        })
        .collect();
    let deep = &subject.topology.services[subject.deep_service().0].name;
    let cause = format!("demand x{surge} while {deep} is {SLOWDOWN} times slower");
    let title = format!("{deployment}: goodput of whole requests, {cause}");
    let layers = folder.join(format!("overload-{deployment}.svg"));
    draw(&layers, &title, &layer_lines(&shown)).map_err(|e| CommandError::file(&layers, e))?;
    let title = format!("{deployment} with bramblewheel: goodput by class, {cause}");
    let classes = folder.join(format!("overload-{deployment}-classes.svg"));
    draw(&classes, &title, &class_lines(subject, &shown))
        .map_err(|e| CommandError::file(&classes, e))
}

fn layer_lines(shown: &[&TrialResult]) -> Vec<Line> {
    let mut lines = Vec::new();
    if let Some(first) = shown.first() {
        let offered = |bucket: usize, m: &Measurement| m.buckets[bucket].offered.iter().sum();
        lines.push(Line {
            label: "requests first sent".to_owned(),
            colour: OFFERED,
            points: points(&first.run.measurement, &offered),
        });
    }
    for (result, colour) in shown.iter().zip(COLOURS) {
        let answered = |bucket: usize, m: &Measurement| m.buckets[bucket].answered.iter().sum();
        let label = match result.trial.kind {
            LayerKind::None => "no layer",
            LayerKind::Naive => "naive layer",
            LayerKind::Bramblewheel => "bramblewheel",
        };
        lines.push(Line {
            label: label.to_owned(),
            colour,
            points: points(&result.run.measurement, &answered),
        });
    }
    lines
}

fn class_lines(subject: &Subject, shown: &[&TrialResult]) -> Vec<Line> {
    let is_ours = |r: &&&TrialResult| r.trial.kind == LayerKind::Bramblewheel;
    let Some(result) = shown.iter().find(is_ours) else {
        return Vec::new();
    };
    let used = subject.classes();
    let classes = Criticality::ALL.into_iter().rev();
    let classes = classes.filter(|class| used.contains(class)).zip(COLOURS);
    let line = |(class, colour): (Criticality, RGBColor)| {
        let answered = |bucket: usize, m: &Measurement| m.buckets[bucket].answered[class.rank()];
        Line {
            label: class.to_string(),
            colour,
            points: points(&result.run.measurement, &answered),
        }
    };
    classes.map(line).collect()
}

/// Rate per second over time, averaged over half a second.
fn points(
    measurement: &Measurement,
    count: &dyn Fn(usize, &Measurement) -> u32,
) -> Vec<(f64, f64)> {
    let bucket = BUCKET.as_secs_f64();
    let mut points = Vec::new();
    for last in SMOOTHED_OVER..=measurement.buckets.len() {
        let buckets = last - SMOOTHED_OVER..last;
        let sum: u32 = buckets.map(|b| count(b, measurement)).sum();
        let middle = (last as f64 - SMOOTHED_OVER as f64 / 2.0) * bucket;
        points.push((middle, f64::from(sum) / (SMOOTHED_OVER as f64 * bucket)));
    }
    points
}

fn seconds(at: Timestamp) -> f64 {
    at.since(Timestamp::ZERO).as_secs_f64()
}

fn draw(path: &Path, title: &str, lines: &[Line]) -> Result<(), Box<dyn Error>> {
    let all = lines.iter().flat_map(|line| &line.points);
    let highest = all.map(|(_, rate)| *rate).fold(1.0, f64::max) * 1.05;
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(14)
        .x_label_area_size(44)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..seconds(LOAD_ENDS), 0.0..highest)?;
    shade(&mut chart, highest)?;
    chart
        .configure_mesh()
        .x_desc("time in the run (seconds)")
        .y_desc("requests per second, mean over 0.5 s")
        .light_line_style(WHITE.mix(0.0))
        .label_style(("sans-serif", 14))
        .axis_desc_style(("sans-serif", 16))
        .draw()?;
    for line in lines {
        let style = line.colour.stroke_width(2);
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), style))?
            .label(&line.label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 22, y)], style));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .background_style(WHITE.mix(0.9))
        .border_style(BLACK.mix(0.4))
        .label_font(("sans-serif", 15))
        .draw()?;
    area.present()?;
    Ok(())
}

/// The span of time in which the cause lasts.
fn shade(chart: &mut Canvas<'_>, highest: f64) -> Result<(), Box<dyn Error>> {
    let span = [(seconds(CAUSE_BEGINS), 0.0), (seconds(CAUSE_ENDS), highest)];
    chart
        .draw_series([Rectangle::new(span, SHADE.filled())])?
        .label("surge and slow service")
        .legend(|(x, y)| Rectangle::new([(x, y - 5), (x + 22, y + 5)], SHADE.filled()));
    Ok(())
}
