//! What `cargo bench --bench scale` writes, and the table that `docs/CAPACITY.md` makes of it.

use crate::fit::{Fit, Growth};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write;

/// The lines of the page between which the table stands.
pub const TABLE_BEGINS: &str =
    "<!-- scale table: written by `cargo run -p ochreward-rig --example capacity` -->";
/// See [`TABLE_BEGINS`].
pub const TABLE_ENDS: &str = "<!-- end of the scale table -->";
/// Sizes for which the fitted lines are read off: a zone of the target, and the whole of it.
pub const TARGET_SIZES: [f64; 2] = [1_780.0, 16_000.0];

/// A figure of one run, and its unit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    /// The number.
    pub value: f64,
    /// What it counts.
    pub unit: String,
}

/// What was measured with one size of group.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Size {
    /// Members of the group, hollow and real.
    pub members: usize,
    /// The figures, by name.
    pub figures: BTreeMap<String, Figure>,
}

/// A storm at one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Storm {
    /// What happened.
    pub name: String,
    /// Members of the group.
    pub members: usize,
    /// The figures, by name.
    pub figures: BTreeMap<String, Figure>,
}

/// All that a run of the benchmark measured.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Cores of the machine.
    pub cores: usize,
    /// Sizes, from the smallest on.
    pub sizes: Vec<Size>,
    /// Storms.
    pub storms: Vec<Storm>,
}

impl Report {
    /// Reads what the benchmark has written.
    pub fn read(text: &str) -> Result<Report, serde_json::Error> {
        serde_json::from_str(text)
    }

    /// The lines that fit the figures that every size has, by name, with their unit.
    pub fn fits(&self) -> BTreeMap<String, (Fit, String)> {
        let Some(first) = self.sizes.first() else { return BTreeMap::new() };
        let fit = |(name, figure): (&String, &Figure)| {
            let of = |size: &Size| Some((size.members as f64, size.figures.get(name)?.value));
            let points: Option<Vec<(f64, f64)>> = self.sizes.iter().map(of).collect();
            Some((name.clone(), (Fit::of(&points?)?, figure.unit.clone())))
        };
        first.figures.iter().filter_map(fit).collect()
    }

    /// The table of the page, in Markdown.
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
            let values = self.sizes.iter().filter_map(|s| s.figures.get(&name)).map(|f| short(f.value));
            let values: Vec<String> = values.collect();
            let growth = match fit.growth {
                Growth::Flat => "flat",
                Growth::Logarithmic => "logarithmic",
                Growth::Linear => "linear",
            };
            let ahead: Vec<String> = TARGET_SIZES.iter().map(|size| short(fit.at(*size))).collect();
            let _ = writeln!(
                out,
                "| {name} | {unit} | {} | {growth} | {} | {} | {:.0}% | {} |",
                values.join(" | "),
                short(fit.constant),
                short(fit.slope),
                fit.residual * 100.0,
                ahead.join(" | ")
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
                let value = short(figure.value);
                let _ = writeln!(
                    out,
                    "| {} | {} | {name} | {value} | {} |",
                    storm.name, storm.members, figure.unit
                );
            }
        }
        out
    }

    /// The page with the table of this report in place of the one that it has; `None` where it has no place for one.
    pub fn page(&self, page: &str) -> Option<String> {
        let (before, rest) = page.split_once(TABLE_BEGINS)?;
        let (_, after) = rest.split_once(TABLE_ENDS)?;
        Some(format!("{before}{TABLE_BEGINS}\n\n{}\n{TABLE_ENDS}{after}", self.table()))
    }
}

/// A number with three significant digits or all before the point.
fn short(value: f64) -> String {
    let digits = if value == 0.0 { 0 } else { (2 - value.abs().log10().floor() as i32).clamp(0, 6) };
    let text = format!("{value:.*}", digits as usize);
    if text.contains('.') { text.trim_end_matches('0').trim_end_matches('.').to_string() } else { text }
}
