//! The burn report as an SVG bar chart, with one group of bars for each service and rank.

use {
    crate::snapshot::{BurnRow, Snapshot},
    derive_more::Error,
    displaydoc::Display,
    plotters::{
        chart::ChartBuilder,
        drawing::IntoDrawingArea as _,
        element::Text,
        element::{PathElement, Rectangle},
        prelude::SVGBackend,
        style::{BLACK, Color as _, IntoFont as _, RGBColor, TextStyle, WHITE},
    },
};

/// the chart could not be drawn
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Error)]
pub struct ChartError;

/// Height of the bars of one service and rank in pixels.
const ROW_HEIGHT: u32 = 72;
/// Width of the chart in pixels.
const WIDTH: u32 = 960;
/// Space in pixels for the title, the horizontal axis and the margins.
const VERTICAL_MARGIN: u32 = 110;

/// Minimum burn rate at the end of the axis, so that low burn rates do not fill the whole chart.
const MIN_AXIS_MAX: f64 = 4.0;

const WINDOW_COLORS: [RGBColor; 4] =
    [RGBColor(192, 57, 43), RGBColor(230, 126, 34), RGBColor(41, 128, 185), RGBColor(52, 73, 94)];

/// Labels of the windows, in the order of [`WINDOWS`](crate::snapshot::WINDOWS).
const WINDOW_LABELS: [&str; 4] = ["5 min", "30 min", "1 h", "6 h"];

/// Renders the report as an SVG document.
///
/// # Errors
/// Returns [`ChartError`] if the drawing library fails.
pub fn render(snapshot: &Snapshot) -> Result<String, ChartError> {
    let mut svg = String::new();
    draw(snapshot, &mut svg).map_err(|_| ChartError)?;
    Ok(svg)
}

type DrawResult = Result<(), Box<dyn std::error::Error>>;

fn draw(snapshot: &Snapshot, svg: &mut String) -> DrawResult {
    let rows = snapshot.rows.len().max(1);
    let height = VERTICAL_MARGIN + ROW_HEIGHT * rows as u32;
    let root = SVGBackend::with_string(svg, (WIDTH, height)).into_drawing_area();
    root.fill(&WHITE)?;
    let rates = snapshot.rows.iter().flat_map(|r| r.windows.iter().map(|w| r.burn_rate(w)));
    let axis_max = rates.fold(MIN_AXIS_MAX, f64::max) * 1.05;
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .margin_top(42)
        .margin_bottom(30)
        .x_label_area_size(36)
        .y_label_area_size(190)
        .build_cartesian_2d(0.0..axis_max, 0.0..rows as f64)?;
    chart
        .configure_mesh()
        .disable_y_mesh()
        .disable_y_axis()
        .x_desc("burn rate (1 spends the budget exactly over its period)")
        .draw()?;
    for (row_index, row) in snapshot.rows.iter().enumerate() {
        let top = (rows - row_index) as f64;
        for (index, window) in row.windows.iter().enumerate() {
            let upper = top - 0.1 - 0.2 * index as f64;
            let bar = [(0.0, upper), (row.burn_rate(window), upper - 0.18)];
            let color = WINDOW_COLORS[index % WINDOW_COLORS.len()];
            chart.draw_series([Rectangle::new(bar, color.filled())])?;
        }
    }
    chart.draw_series([PathElement::new(vec![(1.0, 0.0), (1.0, rows as f64)], BLACK)])?;
    draw_labels(&root, snapshot)?;
    root.present()?;
    Ok(())
}

type SvgArea<'a> = plotters::drawing::DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw_labels(root: &SvgArea<'_>, snapshot: &Snapshot) -> DrawResult {
    let label_style = TextStyle::from(("sans-serif", 14).into_font());
    let title = format!("Error budget burn, nodes: {}", snapshot.nodes.len());
    let title_style = TextStyle::from(("sans-serif", 20).into_font());
    root.draw(&Text::new(title, (12, 10), title_style))?;
    for (row_index, row) in snapshot.rows.iter().enumerate() {
        let y = 58 + i32::try_from(ROW_HEIGHT)? * i32::try_from(row_index)?;
        root.draw(&Text::new(row_label(row), (12, y), label_style.clone()))?;
        let objective = format!("{}% objective", row.objective_percent);
        root.draw(&Text::new(objective, (12, y + 18), label_style.clone()))?;
    }
    for (index, name) in WINDOW_LABELS.iter().enumerate() {
        let x = 520 + 100 * i32::try_from(index)?;
        let color = WINDOW_COLORS[index];
        root.draw(&Rectangle::new([(x, 14), (x + 14, 28)], color.filled()))?;
        root.draw(&Text::new((*name).to_owned(), (x + 20, 14), label_style.clone()))?;
    }
    Ok(())
}

fn row_label(row: &BurnRow) -> String {
    format!("{} / {}", row.service, row.rank)
}
