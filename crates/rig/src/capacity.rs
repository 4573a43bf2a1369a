//! The report that `cargo bench --bench scale` writes as JSON, and the Markdown table for `docs/CAPACITY.md` that is made from it.

use crate::fit::{Fit, Growth};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write;

/// The line of the page above the table.
pub const TABLE_BEGINS: &str =
    "<!-- scale table: written by `cargo run -p ochreward-rig --example capacity` -->";
/// The line of the page below the table.
pub const TABLE_ENDS: &str = "<!-- end of the scale table -->";
/// The sizes to which the fits are extrapolated: one zone of the target size, and all of it.
pub const TARGET_SIZES: [f64; 2] = [1_780.0, 16_000.0];

/// A measured value and its unit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    /// The value.
    pub value: f64,
    /// The unit.
    pub unit: String,
}

/// The measurements at one size of the group.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Size {
    /// The members of the group, simulated and real.
    pub members: usize,
    /// The measured values, by name.
    pub figures: BTreeMap<String, Figure>,
}

/// The measurements of a burst of changes at one size of the group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Storm {
    /// The name of the burst.
    pub name: String,
    /// The members of the group.
    pub members: usize,
    /// The measured values, by name.
    pub figures: BTreeMap<String, Figure>,
}

/// All measurements of a run of the benchmark.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The number of cores of the machine.
    pub cores: usize,
    /// The measurements by size, in increasing order.
    pub sizes: Vec<Size>,
    /// The measurements of bursts.
    pub storms: Vec<Storm>,
}

impl Report {
    /// Parses the JSON that the benchmark has written.
    pub fn read(text: &str) -> Result<Report, serde_json::Error> {
        serde_json::from_str(text)
    }

    /// Returns the fits, with units, of all values that were measured at every size, by name.
    pub fn fits(&self) -> BTreeMap<String, (Fit, String)> {
        let Some(first) = self.sizes.first() else { return BTreeMap::new() };
        let fit = |(name, figure): (&String, &Figure)| {
            let point = |size: &Size| Some((size.members as f64, size.figures.get(name)?.value));
            let points: Option<Vec<(f64, f64)>> = self.sizes.iter().map(point).collect();
            Some((name.clone(), (Fit::of(&points?)?, figure.unit.clone())))
        };
        first.figures.iter().filter_map(fit).collect()
    }

    /// Returns the table in Markdown.
    pub fn table(&self) -> String {
        let mut out = String::new();
        let members: Vec<String> = self.sizes.iter().map(|s| s.members.to_string()).collect();
        let _ = writeln!(
            out,
            "| figure | unit | at {} | grows | constant | slope | residual | at 1,780 | at 16,000 |",
            members.join(" | at ")
        );
        let columns = "| --- ".repeat(self.sizes.len() + 8);
        let _ = writeln!(out, "{columns}|");
        for (name, (fit, unit)) in self.fits() {
            let values =
                self.sizes.iter().filter_map(|s| s.figures.get(&name)).map(|f| format_rounded(f.value));
            let values: Vec<String> = values.collect();
            let growth = match fit.growth {
                Growth::Flat => "flat",
                Growth::Logarithmic => "logarithmic",
                Growth::Linear => "linear",
            };
            let extrapolated: Vec<String> =
                TARGET_SIZES.iter().map(|size| format_rounded(fit.at(*size))).collect();
            let _ = writeln!(
                out,
                "| {name} | {unit} | {} | {growth} | {} | {} | {:.0}% | {} |",
                values.join(" | "),
                format_rounded(fit.constant),
                format_rounded(fit.slope),
                fit.residual * 100.0,
                extrapolated.join(" | ")
            );
        }
        if !self.storms.is_empty() {
            let _ = writeln!(
                out,
                "\n| storm | members | figure | value | unit |\n| --- | --- | --- | --- | --- |"
            );
        }
        for storm in &self.storms {
            for (name, figure) in &storm.figures {
                let value = format_rounded(figure.value);
                let _ = writeln!(
                    out,
                    "| {} | {} | {name} | {value} | {} |",
                    storm.name, storm.members, figure.unit
                );
            }
        }
        out
    }

    /// Returns the page with its table replaced by that of this report; `None` if the lines that enclose the table are missing.
    pub fn page(&self, page: &str) -> Option<String> {
        let (before, rest) = page.split_once(TABLE_BEGINS)?;
        let (_, after) = rest.split_once(TABLE_ENDS)?;
        Some(format!("{before}{TABLE_BEGINS}\n\n{}\n{TABLE_ENDS}{after}", self.table()))
    }
}

/// Formats a number with three significant digits, or with all digits before the decimal point if there are more.
fn format_rounded(value: f64) -> String {
    let digits = if value == 0.0 { 0 } else { (2 - value.abs().log10().floor() as i32).clamp(0, 6) };
    let text = format!("{value:.*}", digits as usize);
    if text.contains('.') { text.trim_end_matches('0').trim_end_matches('.').to_string() } else { text }
}
