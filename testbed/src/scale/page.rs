//! The page docs/CAPACITY.md: its tables, worked out anew from `rows.toml` and the runs' JSON, so that page and runs
//! cannot drift apart. Nothing of the page changes but what stands between `<!-- table: NAME -->` and `<!-- end -->`.

mod number;
mod rows;
mod working;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::fs;
use std::path::Path;

use self::number::{Number, written};
use self::rows::{Book, Row};
use self::working::{Worked, Working};
use super::fit::Fit;
use super::{Run, ScaleError, read_runs};

/// What the tables are made of, in the folder with the JSON.
const ROWS: &str = "rows.toml";
const BEGIN: &str = "<!-- table: ";
const BEGIN_END: &str = " -->";
const END: &str = "<!-- end -->";
/// Tables made of the runs alone.
const RUNS: &str = "runs";
const SLOPES: &str = "slopes";

/// The first line at which two texts part.
#[derive(Debug, PartialEq)]
pub struct Difference {
    /// From 1.
    pub line: usize,
    /// What stands there.
    pub is: String,
    /// What the runs say.
    pub ought: String,
}

/// The text of a page with its tables made anew from a folder.
///
/// # Errors
/// Where a file cannot be read, or page, rows and runs do not fit together.
pub fn renewed(dir: &Path, page: &Path) -> Result<String, ScaleError> {
    let path = dir.join(ROWS);
    let problem = |path: &Path, problem: String| ScaleError::File { path: path.to_owned(), problem };
    let text = fs::read_to_string(&path).map_err(|error| problem(&path, error.to_string()))?;
    let book: Book = toml::from_str(&text).map_err(|error| problem(&path, error.to_string()))?;
    let runs = read_runs(dir)?;
    let tables = tables(&book, &runs).map_err(|why| problem(&path, why))?;
    let text = fs::read_to_string(page).map_err(|error| problem(page, error.to_string()))?;
    filled(&text, &tables).map_err(|why| problem(page, why))
}

/// Where the first text is not as the second.
pub fn first_difference(is: &str, ought: &str) -> Option<Difference> {
    let (mut is, mut ought) = (is.lines(), ought.lines());
    for line in 1.. {
        match (is.next(), ought.next()) {
            (None, None) => break,
            (a, b) if a == b => {}
            (a, b) => {
                let [is, ought] = [a, b].map(|line| line.unwrap_or("(the end)").to_owned());
                return Some(Difference { line, is, ought });
            }
        }
    }
    None
}

/// All tables by name.
fn tables(book: &Book, runs: &BTreeMap<String, Vec<Run>>) -> Result<BTreeMap<String, String>, String> {
    let mut tables: BTreeMap<String, String> = BTreeMap::new();
    let mut working = Working::new(&book.counts, runs);
    for row in &book.rows {
        if [RUNS, SLOPES].contains(&row.table.as_str()) {
            return Err(format!("{}: this table is made of the runs alone", row.table));
        }
        let worked = working.work_out(row).map_err(|why| format!("{}: {}: {why}", row.table, row.what))?;
        let table = tables.entry(row.table.clone()).or_insert_with(|| {
            heads(&["what", "worked out", "comes to", "budget", "headroom", "run", "mechanism"])
        });
        line(table, &cells(row, &worked, runs));
    }
    tables.insert(RUNS.to_owned(), runs_table(runs));
    tables.insert(SLOPES.to_owned(), slopes_table(runs));
    Ok(tables)
}

fn heads(names: &[&str]) -> String {
    let mut table = String::new();
    line(&mut table, names);
    line(&mut table, &vec!["---"; names.len()]);
    table
}

fn line<S: AsRef<str>>(table: &mut String, cells: &[S]) {
    for cell in cells {
        // What writes to a string does not fail.
        let _ = write!(table, "| {} ", cell.as_ref().replace('|', "\\|"));
    }
    table.push_str("|\n");
}

fn cells(row: &Row, worked: &Worked, runs: &BTreeMap<String, Vec<Run>>) -> [String; 7] {
    let unit =
        |number: &str| if row.unit.is_empty() { number.to_owned() } else { format!("{number} {}", row.unit) };
    let nothing = || "-".to_owned();
    let comes_to = match (&worked.number, worked.missing.is_empty()) {
        (Some(number), _) => unit(&number.to_string()),
        (None, true) if !worked.text.is_empty() => "not reached".to_owned(),
        (None, _) => "not measured".to_owned(),
    };
    let headroom = match (row.budget, worked.number) {
        (Some(budget), Some(number)) => headroom(budget, number),
        _ => nothing(),
    };
    let text = if worked.text.is_empty() { nothing() } else { worked.text.clone() };
    let budget = row.budget.map_or_else(nothing, |budget| unit(&written(budget)));
    let of = |name: &String| match runs.get(name) {
        Some(seeds) => format!("`{name}`, {}", seeds_of(seeds)),
        None => format!("`{name}`: none yet"),
    };
    let mut from: Vec<String> = worked.runs.union(&worked.missing).map(of).collect();
    from.extend(worked.beyond.iter().cloned());
    let from = match (from.is_empty(), worked.number) {
        (false, _) => from.join("; "),
        (true, Some(_)) => "arithmetic".to_owned(),
        (true, None) => nothing(),
    };
    [row.what.clone(), text, comes_to, budget, headroom, from, row.mechanism.clone()]
}

/// How often the budget holds what it has to; by how much it is missed.
fn headroom(budget: f64, number: Number) -> String {
    if (number.is - budget).abs() < number.error {
        "undecided: within the error".to_owned()
    } else if number.is > budget {
        format!("**over**: {} times the budget", written(number.is / budget))
    } else if budget > 1_000.0 * number.is {
        "over 1,000 times".to_owned()
    } else {
        format!("{} times", written(budget / number.is))
    }
}

fn seeds_of(seeds: &[Run]) -> String {
    let numbers: BTreeSet<u64> = seeds.iter().map(|run| run.seed).collect();
    let numbers: Vec<String> = numbers.iter().map(u64::to_string).collect();
    format!("{} {}", if numbers.len() == 1 { "seed" } else { "seeds" }, numbers.join(", "))
}

/// What was run, and under which conditions.
fn runs_table(runs: &BTreeMap<String, Vec<Run>>) -> String {
    let mut table = heads(&["run", "axis", "from", "to", "seeds", "held fixed"]);
    for (name, seeds) in runs {
        let all = || seeds.iter().flat_map(|run| &run.points).map(|point| point.x);
        let first = seeds.first();
        let fixed = first.map_or_else(Vec::new, |run| {
            run.fixed.iter().map(|(what, how)| format!("{what}: {how}")).collect::<Vec<_>>()
        });
        let cells = [
            format!("`{name}`"),
            first.map_or_else(String::new, |run| run.axis.clone()),
            written(all().fold(f64::INFINITY, f64::min)),
            written(all().fold(f64::NEG_INFINITY, f64::max)),
            seeds_of(seeds),
            fixed.join("; "),
        ];
        line(&mut table, &cells);
    }
    table
}

/// Each figure of each run as a line over its axis.
fn slopes_table(runs: &BTreeMap<String, Vec<Run>>) -> String {
    let mut table = heads(&["run", "figure", "at 0", "slope", "left over", "least", "most"]);
    for (name, seeds) in runs {
        let points = || seeds.iter().flat_map(|run| &run.points);
        let figures: BTreeSet<&String> = points().flat_map(|point| point.figures.keys()).collect();
        for figure in figures {
            let all: Vec<f64> = points().filter_map(|point| point.figures.get(figure).copied()).collect();
            let fit = Fit::of_figure(seeds, figure);
            let of = |what: fn(&Fit) -> f64| fit.map_or_else(|| "-".to_owned(), |fit| written(what(&fit)));
            let cells = [
                format!("`{name}`"),
                format!("`{figure}`"),
                of(|fit| fit.at(0.0)),
                fit.map_or_else(
                    || "-".to_owned(),
                    |fit| Number { is: fit.slope, error: fit.slope_error }.to_string(),
                ),
                of(|fit| fit.residual),
                written(all.iter().copied().fold(f64::INFINITY, f64::min)),
                written(all.iter().copied().fold(f64::NEG_INFINITY, f64::max)),
            ];
            line(&mut table, &cells);
        }
    }
    table
}

/// The page with each table in its place.
fn filled(page: &str, tables: &BTreeMap<String, String>) -> Result<String, String> {
    let mut text = String::with_capacity(page.len());
    let mut wanted: BTreeSet<&String> = tables.keys().collect();
    let mut lines = (1..).zip(page.lines());
    while let Some((at, line)) = lines.next() {
        text.push_str(line);
        text.push('\n');
        let Some(name) = line.strip_prefix(BEGIN).and_then(|rest| rest.strip_suffix(BEGIN_END)) else {
            continue;
        };
        let Some((name, table)) = tables.get_key_value(name) else {
            return Err(format!("line {at}: no row is of the table {name}"));
        };
        if !wanted.remove(name) {
            return Err(format!("line {at}: the table {name} stands here for a second time"));
        }
        let end = lines.by_ref().find(|(_, line)| *line == END || line.starts_with(BEGIN));
        if end.is_none_or(|(_, line)| line != END) {
            return Err(format!("line {at}: the table {name} has no {END}"));
        }
        text.push_str(&format!("\n{table}\n{END}\n"));
    }
    match wanted.first() {
        Some(name) => Err(format!("no place for the table {name}")),
        None => Ok(text),
    }
}

#[cfg(test)]
mod tests;
