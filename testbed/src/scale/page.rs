//! Generates the tables of docs/CAPACITY.md from `rows.toml` and the JSON files of the runs, so that the page
//! always matches the runs. Only the text between `<!-- table: NAME -->` and `<!-- end -->` is replaced.

mod number;
mod rows;
mod working;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::fs;
use std::path::Path;

use self::number::{Number, format_number};
use self::rows::{Row, RowsFile};
use self::working::{Evaluated, Evaluator};
use super::fit::Fit;
use super::{Run, ScaleError, read_runs};

/// The file with the rows of the tables, in the directory of the JSON files.
const ROWS_FILE: &str = "rows.toml";
const TABLE_BEGIN: &str = "<!-- table: ";
const TABLE_BEGIN_SUFFIX: &str = " -->";
const TABLE_END: &str = "<!-- end -->";
/// Names of the tables that are generated from the runs without rows.
const RUNS_TABLE: &str = "runs";
const SLOPES_TABLE: &str = "slopes";

/// The first line in which two texts differ.
#[derive(Debug, PartialEq)]
pub struct Difference {
    /// Line number, from 1.
    pub line: usize,
    /// The line of the page.
    pub actual: String,
    /// The line generated from the runs.
    pub expected: String,
}

/// Returns the text of a page with its tables regenerated from the rows and runs in `dir`.
///
/// # Errors
/// Returns an error if a file cannot be read, or if page, rows and runs do not match.
pub fn regenerate(dir: &Path, page: &Path) -> Result<String, ScaleError> {
    let path = dir.join(ROWS_FILE);
    let problem = |path: &Path, problem: String| ScaleError::File { path: path.to_owned(), problem };
    let text = fs::read_to_string(&path).map_err(|error| problem(&path, error.to_string()))?;
    let rows_file: RowsFile = toml::from_str(&text).map_err(|error| problem(&path, error.to_string()))?;
    let runs = read_runs(dir)?;
    let tables = render_tables(&rows_file, &runs).map_err(|why| problem(&path, why))?;
    let text = fs::read_to_string(page).map_err(|error| problem(page, error.to_string()))?;
    fill_tables(&text, &tables).map_err(|why| problem(page, why))
}

/// Returns the first difference between two texts, or `None` if they are equal line by line.
pub fn first_difference(actual: &str, expected: &str) -> Option<Difference> {
    let (mut actual, mut expected) = (actual.lines(), expected.lines());
    for line in 1.. {
        match (actual.next(), expected.next()) {
            (None, None) => break,
            (left, right) if left == right => {}
            (left, right) => {
                let [actual, expected] = [left, right].map(|line| line.unwrap_or("(the end)").to_owned());
                return Some(Difference { line, actual, expected });
            }
        }
    }
    None
}

/// Renders all tables, by name.
fn render_tables(
    rows_file: &RowsFile,
    runs: &BTreeMap<String, Vec<Run>>,
) -> Result<BTreeMap<String, String>, String> {
    let mut tables: BTreeMap<String, String> = BTreeMap::new();
    let mut working = Evaluator::new(&rows_file.counts, runs);
    for row in &rows_file.rows {
        if [RUNS_TABLE, SLOPES_TABLE].contains(&row.table.as_str()) {
            return Err(format!("table {} is generated from the runs and cannot have rows", row.table));
        }
        let evaluated = working.evaluate(row).map_err(|why| format!("{}: {}: {why}", row.table, row.what))?;
        let table = tables.entry(row.table.clone()).or_insert_with(|| {
            table_head(&["what", "worked out", "comes to", "budget", "headroom", "run", "mechanism"])
        });
        push_row(table, &row_cells(row, &evaluated, runs));
    }
    tables.insert(RUNS_TABLE.to_owned(), runs_table(runs));
    tables.insert(SLOPES_TABLE.to_owned(), slopes_table(runs));
    Ok(tables)
}

fn table_head(names: &[&str]) -> String {
    let mut table = String::new();
    push_row(&mut table, names);
    push_row(&mut table, &vec!["---"; names.len()]);
    table
}

fn push_row<S: AsRef<str>>(table: &mut String, cells: &[S]) {
    for cell in cells {
        // Writing to a `String` cannot fail.
        let _ = write!(table, "| {} ", cell.as_ref().replace('|', "\\|"));
    }
    table.push_str("|\n");
}

fn row_cells(row: &Row, evaluated: &Evaluated, runs: &BTreeMap<String, Vec<Run>>) -> [String; 7] {
    let unit =
        |number: &str| if row.unit.is_empty() { number.to_owned() } else { format!("{number} {}", row.unit) };
    let dash = || "-".to_owned();
    let comes_to = match (&evaluated.number, evaluated.missing_runs.is_empty()) {
        (Some(number), _) => unit(&number.to_string()),
        (None, true) if !evaluated.text.is_empty() => "not reached".to_owned(),
        (None, _) => "not measured".to_owned(),
    };
    let headroom = match (row.budget, evaluated.number) {
        (Some(budget), Some(number)) => headroom(budget, number),
        _ => dash(),
    };
    let text = if evaluated.text.is_empty() { dash() } else { evaluated.text.clone() };
    let budget = row.budget.map_or_else(dash, |budget| unit(&format_number(budget)));
    let of = |name: &String| match runs.get(name) {
        Some(seeds) => format!("`{name}`, {}", seed_list(seeds)),
        None => format!("`{name}`: none yet"),
    };
    let mut from: Vec<String> = evaluated.runs.union(&evaluated.missing_runs).map(of).collect();
    from.extend(evaluated.extrapolations.iter().cloned());
    let from = match (from.is_empty(), evaluated.number) {
        (false, _) => from.join("; "),
        (true, Some(_)) => "arithmetic".to_owned(),
        (true, None) => dash(),
    };
    [row.what.clone(), text, comes_to, budget, headroom, from, row.mechanism.clone()]
}

/// Compares a number with its budget: the budget as a multiple of the number, or, where the number exceeds
/// it, the number as a multiple of the budget.
fn headroom(budget: f64, number: Number) -> String {
    if (number.value - budget).abs() < number.error {
        "undecided: within the error".to_owned()
    } else if number.value > budget {
        format!("**over**: {} times the budget", format_number(number.value / budget))
    } else if budget > 1_000.0 * number.value {
        "over 1,000 times".to_owned()
    } else {
        format!("{} times", format_number(budget / number.value))
    }
}

fn seed_list(seeds: &[Run]) -> String {
    let numbers: BTreeSet<u64> = seeds.iter().map(|run| run.seed).collect();
    let numbers: Vec<String> = numbers.iter().map(u64::to_string).collect();
    format!("{} {}", if numbers.len() == 1 { "seed" } else { "seeds" }, numbers.join(", "))
}

/// Renders the table of the runs: axis, seeds and fixed conditions of each.
fn runs_table(runs: &BTreeMap<String, Vec<Run>>) -> String {
    let mut table = table_head(&["run", "axis", "from", "to", "seeds", "held fixed"]);
    for (name, seeds) in runs {
        let all = || seeds.iter().flat_map(|run| &run.points).map(|point| point.x);
        let first = seeds.first();
        let fixed = first.map_or_else(Vec::new, |run| {
            run.fixed.iter().map(|(what, how)| format!("{what}: {how}")).collect::<Vec<_>>()
        });
        let cells = [
            format!("`{name}`"),
            first.map_or_else(String::new, |run| run.axis.clone()),
            format_number(all().fold(f64::INFINITY, f64::min)),
            format_number(all().fold(f64::NEG_INFINITY, f64::max)),
            seed_list(seeds),
            fixed.join("; "),
        ];
        push_row(&mut table, &cells);
    }
    table
}

/// Renders the table with the fitted line of each figure of each run.
fn slopes_table(runs: &BTreeMap<String, Vec<Run>>) -> String {
    let mut table = table_head(&["run", "figure", "at 0", "slope", "left over", "least", "most"]);
    for (name, seeds) in runs {
        let points = || seeds.iter().flat_map(|run| &run.points);
        let figures: BTreeSet<&String> = points().flat_map(|point| point.figures.keys()).collect();
        for figure in figures {
            let all: Vec<f64> = points().filter_map(|point| point.figures.get(figure).copied()).collect();
            let fit = Fit::of_figure(seeds, figure);
            let of =
                |what: fn(&Fit) -> f64| fit.map_or_else(|| "-".to_owned(), |fit| format_number(what(&fit)));
            let cells = [
                format!("`{name}`"),
                format!("`{figure}`"),
                of(|fit| fit.at(0.0)),
                fit.map_or_else(
                    || "-".to_owned(),
                    |fit| Number { value: fit.slope, error: fit.slope_error }.to_string(),
                ),
                of(|fit| fit.residual),
                format_number(all.iter().copied().fold(f64::INFINITY, f64::min)),
                format_number(all.iter().copied().fold(f64::NEG_INFINITY, f64::max)),
            ];
            push_row(&mut table, &cells);
        }
    }
    table
}

/// Returns the page with the text between the markers of each table replaced.
fn fill_tables(page: &str, tables: &BTreeMap<String, String>) -> Result<String, String> {
    let mut text = String::with_capacity(page.len());
    let mut unplaced: BTreeSet<&String> = tables.keys().collect();
    let mut lines = (1..).zip(page.lines());
    while let Some((at, line)) = lines.next() {
        text.push_str(line);
        text.push('\n');
        let Some(name) =
            line.strip_prefix(TABLE_BEGIN).and_then(|rest| rest.strip_suffix(TABLE_BEGIN_SUFFIX))
        else {
            continue;
        };
        let Some((name, table)) = tables.get_key_value(name) else {
            return Err(format!("line {at}: unknown table {name}: no row belongs to it"));
        };
        if !unplaced.remove(name) {
            return Err(format!("line {at}: duplicate table {name}"));
        }
        let end = lines.by_ref().find(|(_, line)| *line == TABLE_END || line.starts_with(TABLE_BEGIN));
        if end.is_none_or(|(_, line)| line != TABLE_END) {
            return Err(format!("line {at}: table {name} has no {TABLE_END}"));
        }
        text.push_str(&format!("\n{table}\n{TABLE_END}\n"));
    }
    match unplaced.first() {
        Some(name) => Err(format!("page has no marker for table {name}")),
        None => Ok(text),
    }
}

#[cfg(test)]
mod tests;
