//! HTML report with tables and plots of a result.

use std::fmt::Write;
use std::path::Path;

use daisyhinge::prelude::*;
use plotters::prelude::*;

use crate::load::result::{LoadResult, SecondResult, ServiceResult};

/// Size of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (760, 260);
/// Colours of the lines of a plot, in order.
const COLOURS: [RGBColor; 4] = [
    RGBColor(31, 119, 180),
    RGBColor(255, 127, 14),
    RGBColor(44, 160, 44),
    RGBColor(214, 39, 40),
];

/// One line of a plot: its legend and the value that it shows for each second.
struct PlotLine {
    name: &'static str,
    read: fn(&SecondResult) -> f64,
}

/// Writes the report of `result` to `path`.
///
/// # Errors
///
/// `StorageFailed` if the file cannot be written.
pub fn write_report(result: &LoadResult, path: &Path) -> Result<(), ResultCode> {
    std::fs::write(path, build_page(result)).map_err(|_unwritable| ResultCode::StorageFailed)
}

/// Builds the report of `result`, in HTML with SVG plots.
pub fn build_page(result: &LoadResult) -> String {
    let mut page = format!(
        "<!doctype html><meta charset=\"utf-8\"><title>{0}</title>\
         <style>body{{font-family:sans-serif;max-width:62em;margin:auto}}\
         td,th{{text-align:right;padding:.1em .7em}}</style>\
         <h1>{0}: {1}</h1><p>seed {2}, {3} s, label {4}; the load generator sent at most {5} ms \
         late; violations: {6}</p>",
        escape_text(&result.scenario),
        escape_text(&result.system),
        result.seed,
        result.duration_ms / 1_000,
        escape_text(&result.label),
        result.tool_late_us / 1_000,
        result.count_violations(),
    );
    add_summary(&mut page, result);
    for service in &result.services {
        add_plots(&mut page, service);
    }
    add_servers(&mut page, result);
    add_faults(&mut page, result);
    page
}

fn add_summary(page: &mut String, result: &LoadResult) {
    page.push_str(
        "<table><tr><th>service<th>offered<th>whole<th>partial<th>refused<th>lost<th>late\
         <th>p50 ms<th>p99 ms<th>p99.9 ms<th>extra %<th>doubled</tr>",
    );
    for service in &result.services {
        let _ = write!(
            page,
            "<tr><td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{:.1}<td>{:.1}<td>{:.1}<td>{:.2}\
             <td>{}</tr>",
            escape_text(&service.service),
            service.offered,
            service.whole,
            service.answered - service.whole,
            service.count_refused(),
            service.lost,
            service.late,
            service.latency.p50_us as f64 / 1_000.0,
            service.latency.p99_us as f64 / 1_000.0,
            service.latency.p999_us as f64 / 1_000.0,
            service.extra_percent(),
            service.doubled,
        );
    }
    page.push_str("</table>");
}

fn add_plots(page: &mut String, service: &ServiceResult) {
    let counts = [
        PlotLine {
            name: "whole",
            read: |second| second.whole as f64,
        },
        PlotLine {
            name: "partial",
            read: |second| second.partial as f64,
        },
        PlotLine {
            name: "refused",
            read: |second| second.refused as f64,
        },
        PlotLine {
            name: "lost",
            read: |second| second.lost as f64,
        },
    ];
    let tails = [PlotLine {
        name: "p99 ms",
        read: |second| second.p99_us as f64 / 1_000.0,
    }];
    for (title, lines) in [
        ("requests per second", &counts[..]),
        ("latency", &tails[..]),
    ] {
        let title = format!("{}: {title}", service.service);
        match draw_plot(&title, &service.seconds, lines) {
            Some(plot) => page.push_str(&plot),
            None => page.push_str("<p>no plot</p>"),
        }
    }
}

fn draw_plot(title: &str, seconds: &[SecondResult], lines: &[PlotLine]) -> Option<String> {
    let mut plot = String::new();
    draw_lines(&mut plot, title, seconds, lines).ok()?;
    Some(plot)
}

fn draw_lines<'a>(
    plot: &'a mut String,
    title: &str,
    seconds: &[SecondResult],
    lines: &[PlotLine],
) -> Result<(), DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>> {
    let values = seconds
        .iter()
        .flat_map(|second| lines.iter().map(|line| (line.read)(second)));
    let top = values.fold(1.0, f64::max) * 1.05;
    let area = SVGBackend::with_string(plot, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..seconds.len() as f64, 0.0..top)?;
    chart.configure_mesh().disable_mesh().draw()?;
    for (line, colour) in lines.iter().zip(COLOURS) {
        let points = (0..)
            .zip(seconds)
            .map(|(at, second)| (f64::from(at), (line.read)(second)));
        chart
            .draw_series(LineSeries::new(points, &colour))?
            .label(line.name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
    }
    chart.configure_series_labels().draw()?;
    area.present()
}

fn add_servers(page: &mut String, result: &LoadResult) {
    page.push_str(
        "<table><tr><th>replica<th>received<th>peak<th>slots<th>over slots<th>connections\
         <th>refused connections<th>collapses<th>cancelled<th>shed<th>after mark</tr>",
    );
    for server in &result.servers {
        let _ = write!(
            page,
            "<tr><td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{}</tr>",
            escape_text(&server.replica),
            server.received,
            server.peak_in_hand,
            server.slots,
            server.slots_exceeded,
            server.peak_connections,
            server.connections_exceeded,
            server.collapses,
            server.cancelled,
            server.shed,
            server.after_mark,
        );
    }
    page.push_str("</table>");
}

fn add_faults(page: &mut String, result: &LoadResult) {
    page.push_str("<table><tr><th>at ms<th>done ms<th>fault<th>code<th>remark</tr>");
    for record in &result.faults {
        let _ = write!(
            page,
            "<tr><td>{}<td>{}<td>{}<td>{}<td>{}</tr>",
            record.at_ms,
            record.done_ms,
            escape_text(&record.fault),
            record.code,
            escape_text(&record.remark),
        );
    }
    page.push_str("</table>");
}

fn escape_text(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
