//! The rows of the tables as `rows.toml` has them.

use std::collections::BTreeMap;

use serde::Deserialize;

/// All that is worked out.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Book {
    /// Numbers with a name, each in one place.
    #[serde(default)]
    pub counts: BTreeMap<String, Count>,
    /// In their order on the page.
    #[serde(default, rename = "row")]
    pub rows: Vec<Row>,
}

/// A number of the operators' letter, or one that the page says to be assumed; and of what it is.
#[derive(Deserialize)]
pub struct Count(pub f64, pub String);

/// One line of a table.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Which table.
    pub table: String,
    /// By which later rows use its outcome.
    pub name: Option<String>,
    /// What is worked out.
    pub what: String,
    /// Products that are added up; none for what cannot be worked out yet.
    #[serde(default)]
    pub sum: Vec<Vec<Factor>>,
    /// Of the outcome and the budget.
    #[serde(default)]
    pub unit: String,
    /// The most that it may be.
    pub budget: Option<f64>,
    /// What carries it, or takes its place.
    #[serde(default)]
    pub mechanism: String,
}

/// A number as it stands, or the name of a count or of an earlier row.
#[derive(Clone, Deserialize)]
#[serde(untagged, expecting = "a number, or the name of a count or of an earlier row")]
pub enum Value {
    /// As it stands.
    Plain(f64),
    /// By name.
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
    /// Times it.
    Value(Value),
    /// Divided by it.
    Per(Per),
    /// Times a power.
    Power(Power),
    /// Times what was measured.
    Measured(Measured),
}

/// See [`Factor::Per`].
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Per {
    /// What it is divided by.
    pub per: Value,
}

/// See [`Factor::Power`].
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Power {
    /// What is raised, and to which power.
    pub power: [Value; 2],
}

/// A figure of a run, over all seeds.
#[derive(Deserialize)]
#[serde(try_from = "Written")]
pub struct Measured {
    /// The run's name.
    pub run: String,
    /// The figure's name.
    pub figure: String,
    /// The part of the axis that the line goes through; all of it, where not said.
    pub within: Option<[f64; 2]>,
    /// What is taken of it.
    pub take: Take,
}

/// What is taken of a figure.
pub enum Take {
    /// The line's slope.
    Slope,
    /// The line at this place of the axis.
    At(Value),
    /// The mean of the seeds at this place, which has to be measured.
    Point(f64),
    /// The greatest of the seeds there.
    Most(f64),
    /// Where on the axis the line reaches this.
    Reaches(Value),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Written {
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

impl TryFrom<Written> for Measured {
    type Error = &'static str;

    fn try_from(written: Written) -> Result<Measured, Self::Error> {
        let Written { run, figure, within, slope, at, point, most, reaches } = written;
        let take = match (slope, at, point, most, reaches) {
            (true, None, None, None, None) => Take::Slope,
            (false, Some(at), None, None, None) => Take::At(at),
            (false, None, Some(point), None, None) => Take::Point(point),
            (false, None, None, Some(most), None) => Take::Most(most),
            (false, None, None, None, Some(reaches)) => Take::Reaches(reaches),
            _ => return Err("one of slope = true, at, point, most, reaches"),
        };
        Ok(Measured { run, figure, within, take })
    }
}
