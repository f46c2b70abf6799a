//! Draws the report of a trial: lifetimes of the ingresses, requests at the list service, responses to clients, and load of the
//! limit servers. The times of faults are shaded.
//!
//! Input: the outcome of a trial. Output: SVG text.

use std::collections::BTreeMap;

use plotters::coord::types::RangedCoordf64;
use plotters::coord::Shift;
use plotters::prelude::*;

use crate::journal::{Entry, Event};
use crate::run::TrialOutcome;

/// Size of the report in pixels.
const SIZE: (u32, u32) = (1100, 1000);
/// Interval over which events are counted, in seconds.
const BIN_SECONDS: f64 = 0.1;
/// Upper end of a vertical axis, as a multiple of the highest value drawn.
const HEADROOM: f64 = 1.05;

/// An error of the drawing library.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct DrawError(String);

impl<E: std::error::Error + Send + Sync> From<DrawingAreaErrorKind<E>> for DrawError {
    fn from(error: DrawingAreaErrorKind<E>) -> Self {
        DrawError(error.to_string())
    }
}

/// The report as SVG.
///
/// # Errors
///
/// Errors of the drawing library.
pub fn svg(outcome: &TrialOutcome, title: &str) -> Result<String, DrawError> {
    let mut text = String::new();
    draw(outcome, title, &mut text)?;
    Ok(text)
}

fn draw(outcome: &TrialOutcome, title: &str, text: &mut String) -> Result<(), DrawError> {
    let root = SVGBackend::with_string(text, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let areas = root.titled(title, ("sans-serif", 18))?.split_evenly((4, 1));
    let report = Report::new(&outcome.entries);
    report.draw_ingresses(&areas[0], outcome)?;
    report.draw_counts(
        &areas[1],
        "list service: requests and rejections per 100 ms",
        &[
            (BLUE, report.counts(is_list_request)),
            (RED, report.counts(is_list_rejection)),
        ],
    )?;
    report.draw_counts(
        &areas[2],
        "responses to clients per 100 ms: served, rejected",
        &[
            (GREEN, report.counts(is_served)),
            (RED, report.counts(is_rejected)),
        ],
    )?;
    report.draw_load(&areas[3], outcome)?;
    root.present()?;
    Ok(())
}

fn is_list_request(event: &Event) -> bool {
    matches!(event, Event::ListRequested { .. })
}

fn is_list_rejection(event: &Event) -> bool {
    matches!(event, Event::ListResponse { status: 503, .. })
}

fn is_served(event: &Event) -> bool {
    event.response_status() == Some(200)
}

fn is_rejected(event: &Event) -> bool {
    matches!(event.response_status(), Some(429 | 503))
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Chart<'a, 'b> = ChartContext<'b, SVGBackend<'a>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// Data that all charts of the report share.
struct Report<'e> {
    entries: &'e [Entry],
    /// End of the time axis in seconds.
    end: f64,
    /// Beginning and end of each fault, in seconds.
    faults: Vec<(f64, f64)>,
}

impl<'e> Report<'e> {
    fn new(entries: &'e [Entry]) -> Self {
        let end = entries.last().map_or(1.0, |entry| entry.at_seconds);
        let end = end.max(1.0);
        Report {
            entries,
            end,
            faults: fault_spans(entries, end),
        }
    }

    /// Number of events of a kind in each interval of [`BIN_SECONDS`].
    fn counts(&self, counted: fn(&Event) -> bool) -> Vec<f64> {
        let mut bins = vec![0.0; (self.end / BIN_SECONDS) as usize + 1];
        for entry in self.entries.iter().filter(|entry| counted(&entry.event)) {
            bins[(entry.at_seconds / BIN_SECONDS) as usize] += 1.0;
        }
        bins
    }

    fn chart<'a, 'b>(
        &self,
        area: &'b Area<'a>,
        caption: &str,
        highest: f64,
    ) -> Result<Chart<'a, 'b>, DrawError> {
        let mut chart = ChartBuilder::on(area)
            .caption(caption, ("sans-serif", 13))
            .margin(6)
            .x_label_area_size(22)
            .y_label_area_size(40)
            .build_cartesian_2d(0.0..self.end, 0.0..highest)?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .light_line_style(WHITE)
            .draw()?;
        let shade = |(from, to): &(f64, f64)| {
            Rectangle::new([(*from, 0.0), (*to, highest)], BLACK.mix(0.08).filled())
        };
        chart.draw_series(self.faults.iter().map(shade))?;
        Ok(chart)
    }

    /// Draws a line for each series of counts.
    fn draw_counts(
        &self,
        area: &Area<'_>,
        caption: &str,
        series: &[(RGBColor, Vec<f64>)],
    ) -> Result<(), DrawError> {
        let counts = series.iter().flat_map(|(_, counts)| counts);
        let highest = counts.copied().fold(1.0, f64::max) * HEADROOM;
        let mut chart = self.chart(area, caption, highest)?;
        for (color, counts) in series {
            let point = |(bin, count): (usize, &f64)| (bin as f64 * BIN_SECONDS, *count);
            let points = counts.iter().enumerate().map(point);
            chart.draw_series(LineSeries::new(points, color))?;
        }
        Ok(())
    }

    /// Draws a line for each ingress: grey while it runs, blue from its first list on, with a red mark where its process ended.
    fn draw_ingresses(&self, area: &Area<'_>, outcome: &TrialOutcome) -> Result<(), DrawError> {
        let count = outcome.topology.ingresses as f64;
        let mut chart = self.chart(
            area,
            "ingresses: running (grey), with a list (blue), process ended (red)",
            count,
        )?;
        let (lifetimes, kills) = lifetimes(self.entries, self.end);
        for lifetime in lifetimes {
            let height = lifetime.ingress as f64 + 0.5;
            let listed = lifetime.first_list.unwrap_or(lifetime.end);
            let line = |from, to, style: ShapeStyle| {
                PathElement::new([(from, height), (to, height)], style)
            };
            chart.draw_series([
                line(lifetime.start, listed, BLACK.mix(0.3).into()),
                line(listed, lifetime.end, BLUE.into()),
            ])?;
        }
        let mark = |kill: &(f64, f64)| Circle::new(*kill, 2, RED.filled());
        chart.draw_series(kills.iter().map(mark))?;
        Ok(())
    }

    /// Draws a line for each limit server: attempts per second, as a fraction of the capacity after the warm-up.
    fn draw_load(&self, area: &Area<'_>, outcome: &TrialOutcome) -> Result<(), DrawError> {
        let mut loads: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
        let capacity = outcome.settings.model.max_requests_per_second();
        for entry in self.entries {
            if let Event::AttemptArrived { instance, .. } = entry.event {
                let seconds = loads
                    .entry(instance)
                    .or_insert_with(|| vec![0.0; self.end as usize + 1]);
                seconds[entry.at_seconds as usize] += 1.0 / capacity;
            }
        }
        let highest = loads.values().flatten().copied().fold(0.2, f64::max) * HEADROOM;
        let caption =
            "limit servers: attempts per second, as a fraction of the capacity after the warm-up";
        let mut chart = self.chart(area, caption, highest)?;
        for (index, seconds) in loads.values().enumerate() {
            let point = |(second, load): (usize, &f64)| (second as f64 + 0.5, *load);
            let points = seconds.iter().enumerate().map(point);
            let color = Palette99::pick(index).mix(0.7);
            chart.draw_series(LineSeries::new(points, color))?;
        }
        Ok(())
    }
}

/// Beginning and end of each fault, in seconds; a fault without an end is drawn one interval wide.
fn fault_spans(entries: &[Entry], end: f64) -> Vec<(f64, f64)> {
    let mut active: BTreeMap<&str, f64> = BTreeMap::new();
    let mut spans = Vec::new();
    for entry in entries {
        let at = entry.at_seconds;
        match &entry.event {
            Event::FaultChanged { name, active: true } => drop(active.insert(name, at)),
            Event::FaultChanged { name, .. } => {
                spans.extend(active.remove(name.as_str()).map(|from| (from, at)));
            }
            _ => {}
        }
    }
    let span = |from: &f64| (*from, (from + BIN_SECONDS).min(end));
    spans.extend(active.values().map(span));
    spans
}

/// Lifetime of one process of an ingress; times in seconds.
struct Lifetime {
    ingress: usize,
    start: f64,
    first_list: Option<f64>,
    end: f64,
}

/// Lifetimes of all processes, and the positions of the marks where processes ended.
fn lifetimes(entries: &[Entry], end: f64) -> (Vec<Lifetime>, Vec<(f64, f64)>) {
    let mut running: BTreeMap<usize, Lifetime> = BTreeMap::new();
    let (mut ended, mut kills) = (Vec::new(), Vec::new());
    for entry in entries {
        let at = entry.at_seconds;
        match entry.event {
            Event::IngressStarted { ingress, .. } => {
                let lifetime = Lifetime {
                    ingress,
                    start: at,
                    first_list: None,
                    end,
                };
                running.insert(ingress, lifetime);
            }
            Event::ListResponse {
                ingress,
                status: 200,
                ..
            } => {
                if let Some(lifetime) = running.get_mut(&ingress) {
                    lifetime.first_list.get_or_insert(at);
                }
            }
            Event::ShutdownExpired { ingress }
            | Event::IngressKilled { ingress }
            | Event::IngressExited { ingress, .. } => {
                kills.push((at, ingress as f64 + 0.5));
                let lifetime = running.remove(&ingress);
                ended.extend(lifetime.map(|lifetime| Lifetime {
                    end: at,
                    ..lifetime
                }));
            }
            _ => {}
        }
    }
    ended.extend(running.into_values());
    (ended, kills)
}
