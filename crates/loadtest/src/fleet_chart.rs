//! Draws the timeline of a fleet: the partition status of each server, and the calls in use at the dependency
//! that they share.

use std::path::Path;
use std::time::Instant;

use plotters::prelude::*;
use umberloom_fault_harness::Options;
use umberloom_protocol_fakes::dependency::CallInterval;

/// What a server reported of itself at one time.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Milliseconds since the start.
    pub at_ms: u64,
    /// The letter of its partition status: `W` whole, `M` majority, `m` minority, `a` alone, `?` unsure. `z`
    /// while the process is stopped, `-` while it isn't running or gives no answer.
    pub status: char,
    /// Members that it regards as present, suspected or leaving.
    pub present_members: usize,
    /// Its own share of the quota, in concurrent calls.
    pub quota_share: u64,
    /// Concurrent calls that it may make through leases from others.
    pub borrowed: u64,
}

fn colour(status: char) -> RGBColor {
    match status {
        'W' => RGBColor(60, 140, 80),
        'M' => RGBColor(150, 190, 90),
        'm' => RGBColor(230, 170, 60),
        'a' => RGBColor(210, 80, 60),
        'z' => RGBColor(110, 110, 160),
        '?' => RGBColor(170, 170, 170),
        _ => RGBColor(40, 40, 40),
    }
}

/// Writes the timeline to `path` as SVG. `calls` are those to the shared dependency; `start` is the start of
/// the run.
pub fn draw(
    path: &Path,
    options: &Options,
    timelines: &[Vec<Sample>],
    calls: &[CallInterval],
    start: Instant,
) -> Result<(), Box<dyn std::error::Error>> {
    let end = timelines.iter().flatten().map(|s| s.at_ms).max().unwrap_or(1) as f64 / 1_000.0 + 0.5;
    let rows = timelines.len();
    let area = SVGBackend::new(path, (1_000, 260 + 22 * rows as u32)).into_drawing_area();
    area.fill(&WHITE)?;
    let (upper, lower) = area.split_vertically(40 + 22 * rows as u32);
    let mut chart = ChartBuilder::on(&upper)
        .caption(
            "status: whole green, majority light green, minority amber, alone red, stopped blue, unsure grey",
            ("sans-serif", 13),
        )
        .margin(6)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..end, 0.0..rows as f64)?;
    let server_name = |y: &f64| {
        let n = rows as f64 - 0.5 - y;
        options.names.get(n.round() as usize).filter(|_| n.fract().abs() < 0.01).cloned().unwrap_or_default()
    };
    chart
        .configure_mesh()
        .disable_mesh()
        .disable_x_axis()
        .y_labels(2 * rows + 1)
        .y_label_formatter(&server_name)
        .draw()?;
    for (n, timeline) in timelines.iter().enumerate() {
        let top = (rows - n) as f64;
        let end_times = timeline.iter().skip(1).map(|s| s.at_ms as f64 / 1_000.0).chain([end]);
        let boxes = timeline.iter().zip(end_times).map(|(s, to)| {
            let from = s.at_ms as f64 / 1_000.0;
            Rectangle::new([(from, top - 0.1), (to, top - 0.9)], colour(s.status).filled())
        });
        chart.draw_series(boxes)?;
    }
    let y_max = f64::from(options.capacity) * 1.15;
    let mut chart = ChartBuilder::on(&lower)
        .caption(
            format!("calls in use at the shared dependency, which survives {}", options.capacity),
            ("sans-serif", 13),
        )
        .margin(6)
        .x_label_area_size(28)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..end, 0.0..y_max)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    let seconds = |at: Instant| at.saturating_duration_since(start).as_secs_f64();
    let mut changes: Vec<(f64, i64)> =
        calls.iter().flat_map(|call| [(seconds(call.started_at), 1), (seconds(call.end()), -1)]).collect();
    changes.sort_by(|a, b| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal));
    let (mut in_use, mut points) = (0, Vec::new());
    for (at, change) in changes {
        points.push((at, in_use as f64));
        in_use += change;
        points.push((at, in_use as f64));
    }
    chart.draw_series(LineSeries::new(points, &BLUE))?;
    let capacity = f64::from(options.capacity);
    chart.draw_series(LineSeries::new([(0.0, capacity), (end, capacity)], &RED))?;
    area.present()?;
    Ok(())
}
