//! The format of `rows.toml`, which defines the rows of the tables.

use std::collections::BTreeMap;

use serde::Deserialize;

/// The whole file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowsFile {
    /// Named numbers that rows refer to.
    #[serde(default)]
    pub counts: BTreeMap<String, Count>,
    /// Rows in the order of the page.
    #[serde(default, rename = "row")]
    pub rows: Vec<Row>,
}

/// A number stated by the operators, or one that the page calls an assumption, and the label of what it
/// counts.
#[derive(Deserialize)]
pub struct Count(pub f64, pub String);

/// One row of a table.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Name of the table.
    pub table: String,
    /// Name under which later rows can use the result.
    pub name: Option<String>,
    /// Description of the result.
    pub what: String,
    /// Products that are added up; empty if there is no way to calculate the result yet.
    #[serde(default)]
    pub sum: Vec<Vec<Factor>>,
    /// Unit of the result and the budget.
    #[serde(default)]
    pub unit: String,
    /// Upper limit of the result.
    pub budget: Option<f64>,
    /// The mechanism that keeps the result within its budget, or replaces what is calculated here.
    #[serde(default)]
    pub mechanism: String,
}

/// A literal number, or the name of a count or of an earlier row.
#[derive(Clone, Deserialize)]
#[serde(untagged, expecting = "a number, or the name of a count or of an earlier row")]
pub enum Value {
    /// A literal number.
    Literal(f64),
    /// The name of a count or of an earlier row.
    Named(String),
}

/// One factor of a product.
#[derive(Deserialize)]
#[serde(
    untagged,
    expecting = "a value, { per = VALUE }, { power = [VALUE, VALUE] }, or { run, figure } with one of slope = true, at, \
                 point, most, reaches"
)]
pub enum Factor {
    /// Multiplies by a value.
    Value(Value),
    /// Divides by a value.
    Per(Per),
    /// Multiplies by a power.
    Power(Power),
    /// Multiplies by a measured figure.
    Measured(Measured),
}

/// See [`Factor::Per`].
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Per {
    /// The divisor.
    pub per: Value,
}

/// See [`Factor::Power`].
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Power {
    /// Base and exponent.
    pub power: [Value; 2],
}

/// A value derived from a figure of a run, over all seeds.
#[derive(Deserialize)]
#[serde(try_from = "RawMeasured")]
pub struct Measured {
    /// The run's name.
    pub run: String,
    /// The figure's name.
    pub figure: String,
    /// The range of the axis to which the line is fitted; the whole axis if `None`.
    pub within: Option<[f64; 2]>,
    /// How the value is derived.
    pub take: Take,
}

/// How a value is derived from a figure.
pub enum Take {
    /// The slope of the fitted line.
    Slope,
    /// The value of the fitted line at this `x`.
    At(Value),
    /// The mean over the seeds at this `x`, which must be a point of the run.
    Point(f64),
    /// The maximum over the seeds at this `x`, which must be a point of the run.
    Max(f64),
    /// The `x` at which the fitted line reaches this value.
    Reaches(Value),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawMeasured {
    run: String,
    figure: String,
    within: Option<[f64; 2]>,
    #[serde(default)]
    slope: bool,
    at: Option<Value>,
    point: Option<f64>,
    most: Option<f64>,
    reaches: Option<Value>,
}

impl TryFrom<RawMeasured> for Measured {
    type Error = &'static str;

    fn try_from(raw: RawMeasured) -> Result<Measured, Self::Error> {
        let RawMeasured { run, figure, within, slope, at, point, most, reaches } = raw;
        let take = match (slope, at, point, most, reaches) {
            (true, None, None, None, None) => Take::Slope,
            (false, Some(at), None, None, None) => Take::At(at),
            (false, None, Some(point), None, None) => Take::Point(point),
            (false, None, None, Some(most), None) => Take::Max(most),
            (false, None, None, None, Some(reaches)) => Take::Reaches(reaches),
            _ => return Err("a measured figure needs exactly one of slope = true, at, point, most, reaches"),
        };
        Ok(Measured { run, figure, within, take })
    }
}
