//! A page for a trial: each ingress's life, calls at the list service, load of the limit servers; faults shaded.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are split as the module is reworked"
)]

use std::collections::BTreeMap;

use plotters::prelude::*;

use crate::journal::{Line, What};
use crate::run::Played;

const SIZE: (u32, u32) = (1100, 1000);
/// Seconds of a column.
const COLUMN: f64 = 0.1;

/// The page as SVG.
///
/// # Errors
///
/// What the plot library says.
pub fn svg(played: &Played, title: &str) -> Result<String, String> {
    let mut text = String::new();
    draw(played, title, &mut text).map_err(|e| e.to_string())?;
    Ok(text)
}

type Drawn = Result<(), Box<dyn std::error::Error>>;

fn draw(played: &Played, title: &str, text: &mut String) -> Drawn {
    let root = SVGBackend::with_string(text, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let end = played.lines.last().map_or(1.0, |l| l.at).max(1.0);
    let parts = root.titled(title, ("sans-serif", 18))?.split_evenly((4, 1));
    let faults = faults(&played.lines, end);
    lives(&parts[0], played, end, &faults)?;
    let counted = |kind: fn(&What) -> bool| columns(&played.lines, end, kind);
    bars(
        &parts[1],
        "calls at the list service in 100 ms",
        end,
        &faults,
        &[
            (BLUE, counted(|w| matches!(w, What::Call { .. }))),
            (
                RED,
                counted(|w| matches!(w, What::Listed { status: 503, .. })),
            ),
        ],
    )?;
    bars(
        &parts[2],
        "answers to clients in 100 ms: served, refused",
        end,
        &faults,
        &[
            (
                GREEN,
                counted(|w| {
                    matches!(
                        w,
                        What::Final {
                            status: Some(200),
                            ..
                        }
                    )
                }),
            ),
            (
                RED,
                counted(|w| {
                    matches!(
                        w,
                        What::Final {
                            status: Some(429 | 503),
                            ..
                        }
                    )
                }),
            ),
        ],
    )?;
    load(&parts[3], played, end, &faults)?;
    root.present()?;
    Ok(())
}

/// Spans of the faults.
fn faults(lines: &[Line], end: f64) -> Vec<(f64, f64)> {
    let mut open: BTreeMap<&str, f64> = BTreeMap::new();
    let mut spans = Vec::new();
    for line in lines {
        if let What::Fault { name, on } = &line.what {
            if *on {
                open.insert(name, line.at);
            } else if let Some(from) = open.remove(name.as_str()) {
                spans.push((from, line.at));
            }
        }
    }
    spans.extend(open.values().map(|from| (*from, (from + COLUMN).min(end))));
    spans
}

fn columns(lines: &[Line], end: f64, kind: fn(&What) -> bool) -> Vec<f64> {
    let mut columns = vec![0.0; (end / COLUMN) as usize + 1];
    lines
        .iter()
        .filter(|l| kind(&l.what))
        .for_each(|l| columns[(l.at / COLUMN) as usize] += 1.0);
    columns
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn chart<'a, 'b>(
    area: &'b Area<'a>,
    caption: &str,
    end: f64,
    most: f64,
    faults: &[(f64, f64)],
) -> Result<
    ChartContext<
        'b,
        SVGBackend<'a>,
        Cartesian2d<plotters::coord::types::RangedCoordf64, plotters::coord::types::RangedCoordf64>,
    >,
    Box<dyn std::error::Error + 'a>,
> {
    let mut chart = ChartBuilder::on(area)
        .caption(caption, ("sans-serif", 13))
        .margin(6)
        .x_label_area_size(22)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..end, 0.0..most)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .light_line_style(WHITE)
        .draw()?;
    let shade = |(from, to): &(f64, f64)| {
        Rectangle::new([(*from, 0.0), (*to, most)], BLACK.mix(0.08).filled())
    };
    chart.draw_series(faults.iter().map(shade))?;
    Ok(chart)
}

fn bars(
    area: &Area<'_>,
    caption: &str,
    end: f64,
    faults: &[(f64, f64)],
    series: &[(RGBColor, Vec<f64>)],
) -> Drawn {
    let most = series
        .iter()
        .flat_map(|(_, c)| c)
        .copied()
        .fold(1.0, f64::max)
        * 1.05;
    let mut chart = chart(area, caption, end, most, faults).map_err(|e| e.to_string())?;
    for (color, columns) in series {
        let points = columns
            .iter()
            .enumerate()
            .map(|(i, n)| (i as f64 * COLUMN, *n));
        chart
            .draw_series(LineSeries::new(points, color))
            .map_err(|e| e.to_string())?;
    }
    Ok(())
}

/// A line for each ingress: grey while it runs, from its first list on blue, red marks where it was killed.
fn lives(area: &Area<'_>, played: &Played, end: f64, faults: &[(f64, f64)]) -> Drawn {
    let many = played.layout.ingresses as f64;
    let mut chart = chart(
        area,
        "ingresses: running, listed, killed",
        end,
        many,
        faults,
    )
    .map_err(|e| e.to_string())?;
    let mut since: BTreeMap<usize, (f64, Option<f64>)> = BTreeMap::new();
    let mut spans = Vec::new();
    let mut marks = Vec::new();
    for line in &played.lines {
        match line.what {
            What::Started { ingress, .. } => drop(since.insert(ingress, (line.at, None))),
            What::Listed {
                ingress,
                status: 200,
                ..
            } => {
                if let Some((_, listed)) = since.get_mut(&ingress) {
                    listed.get_or_insert(line.at);
                }
            }
            What::Killed { ingress } | What::Crashed { ingress, .. } => {
                marks.push((line.at, ingress as f64 + 0.5));
                spans.extend(
                    since
                        .remove(&ingress)
                        .map(|(from, listed)| (ingress, from, listed, line.at)),
                );
            }
            _ => {}
        }
    }
    spans.extend(
        since
            .into_iter()
            .map(|(ingress, (from, listed))| (ingress, from, listed, end)),
    );
    for (ingress, from, listed, to) in spans {
        let y = ingress as f64 + 0.5;
        let known = listed.unwrap_or(to);
        let line = |a, b, style: ShapeStyle| PathElement::new([(a, y), (b, y)], style);
        let both = [
            line(from, known, BLACK.mix(0.3).into()),
            line(known, to, BLUE.into()),
        ];
        chart.draw_series(both).map_err(|e| e.to_string())?;
    }
    chart
        .draw_series(marks.iter().map(|at| Circle::new(*at, 2, RED.filled())))
        .map_err(|e| e.to_string())?;
    Ok(())
}

/// A line for each limit server: requests that arrived, over what it can do warm.
fn load(area: &Area<'_>, played: &Played, end: f64, faults: &[(f64, f64)]) -> Drawn {
    let mut loads: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
    let warm = played.rules.model.cores as f64 / played.rules.model.work;
    for line in &played.lines {
        if let What::Attempt { instance, .. } = line.what {
            let columns = loads
                .entry(instance)
                .or_insert_with(|| vec![0.0; end as usize + 1]);
            columns[line.at as usize] += 1.0 / warm;
        }
    }
    let most = loads.values().flatten().copied().fold(0.2, f64::max) * 1.05;
    let caption = "each limit server: requests a second, over what it can do warm";
    let mut chart = chart(area, caption, end, most, faults).map_err(|e| e.to_string())?;
    for (i, columns) in loads.values().enumerate() {
        let points = columns
            .iter()
            .enumerate()
            .map(|(s, load)| (s as f64 + 0.5, *load));
        let color = Palette99::pick(i).mix(0.7);
        chart
            .draw_series(LineSeries::new(points, color))
            .map_err(|e| e.to_string())?;
    }
    Ok(())
}
