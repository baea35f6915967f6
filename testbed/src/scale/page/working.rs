//! Evaluates rows, and renders the arithmetic as text.

use std::collections::{BTreeMap, BTreeSet};

use super::number::{Number, format_number};
use super::rows::{Count, Factor, Measured, Row, Take, Value};
use crate::scale::Run;
use crate::scale::fit::Fit;

/// The result of a row, a product or a factor.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evaluated {
    /// `None` if a run is missing, or if a fitted line never reaches the required value.
    pub number: Option<Number>,
    /// The arithmetic as text.
    pub text: String,
    /// Runs that were used.
    pub runs: BTreeSet<String>,
    /// Runs that are needed but do not exist.
    pub missing_runs: BTreeSet<String>,
    /// Notes on values outside the measured range of a run.
    pub extrapolations: BTreeSet<String>,
}

impl Evaluated {
    /// Adds the runs and notes of another result.
    fn add_sources(&mut self, other: &Evaluated) {
        self.runs.extend(other.runs.iter().cloned());
        self.missing_runs.extend(other.missing_runs.iter().cloned());
        self.extrapolations.extend(other.extrapolations.iter().cloned());
    }
}

/// Evaluates rows in order; a row may use the named results of earlier ones.
pub struct Evaluator<'a> {
    counts: &'a BTreeMap<String, Count>,
    runs: &'a BTreeMap<String, Vec<Run>>,
    /// Results of the named rows evaluated so far, with their units.
    named: BTreeMap<String, (Evaluated, String)>,
}

/// A line fitted to the points of all seeds of a run, and the measured range `from..=to` of the axis.
struct Line {
    fit: Fit,
    mean_x: f64,
    from: f64,
    to: f64,
}

impl Line {
    fn through(points: &[(f64, f64)]) -> Option<Line> {
        let xs = || points.iter().map(|point| point.0);
        Some(Line {
            fit: Fit::through(points)?,
            mean_x: xs().sum::<f64>() / points.len() as f64,
            from: xs().fold(f64::INFINITY, f64::min),
            to: xs().fold(f64::NEG_INFINITY, f64::max),
        })
    }

    /// The line's value at `x` with its standard error, which combines the errors of the mean and of the
    /// slope.
    fn at(&self, x: f64) -> Number {
        let n = self.fit.points as f64;
        let mean_error = self.fit.residual / (n - 2.0).max(1.0).sqrt();
        Number { value: self.fit.at(x), error: mean_error.hypot(self.fit.slope_error * (x - self.mean_x)) }
    }

    fn slope(&self) -> Number {
        Number { value: self.fit.slope, error: self.fit.slope_error }
    }

    /// A note if `x` is outside the range of the points that the line was fitted to.
    fn extrapolation_note(&self, run: &str, x: f64) -> Option<String> {
        let within = (self.from..=self.to).contains(&x);
        (!within).then(|| {
            format!(
                "beyond its line from {} to {} in `{run}`",
                format_number(self.from),
                format_number(self.to)
            )
        })
    }
}

impl<'a> Evaluator<'a> {
    /// Creates an evaluator without results.
    pub fn new(counts: &'a BTreeMap<String, Count>, runs: &'a BTreeMap<String, Vec<Run>>) -> Evaluator<'a> {
        Evaluator { counts, runs, named: BTreeMap::new() }
    }

    /// Evaluates a row.
    ///
    /// # Errors Returns an error if the row refers to an unknown count, row or figure, or if its name is
    /// already in use.
    pub fn evaluate(&mut self, row: &Row) -> Result<Evaluated, String> {
        let mut sum =
            Evaluated { number: (!row.sum.is_empty()).then_some(Number::exact(0.0)), ..Evaluated::default() };
        for (index, product) in row.sum.iter().enumerate() {
            let product = self.product(product)?;
            sum.add_sources(&product);
            sum.number = sum.number.zip(product.number).map(|(left, right)| left + right);
            sum.text += if index > 0 { " + " } else { "" };
            sum.text += &product.text;
        }
        if let Some(name) = &row.name {
            let name_taken = self.counts.contains_key(name) || self.named.contains_key(name);
            if name_taken {
                return Err(format!("duplicate name {name}"));
            }
            self.named.insert(name.clone(), (sum.clone(), row.unit.clone()));
        }
        Ok(sum)
    }

    fn product(&self, factors: &[Factor]) -> Result<Evaluated, String> {
        let mut product = Evaluated { number: Some(Number::exact(1.0)), ..Evaluated::default() };
        for (index, factor) in factors.iter().enumerate() {
            let (sign, evaluated) = match factor {
                Factor::Per(per) => ("÷", self.value(&per.per)?),
                Factor::Value(value) => ("×", self.value(value)?),
                Factor::Power(power) => ("×", self.power(&power.power)?),
                Factor::Measured(measured) => ("×", self.measured(measured)?),
            };
            product.add_sources(&evaluated);
            product.number = product
                .number
                .zip(evaluated.number)
                .map(|(left, right)| if sign == "÷" { left / right } else { left * right });
            match (index, sign) {
                (0, "×") => {}
                (0, _) => product.text += "1 ÷ ",
                _ => product.text += &format!(" {sign} "),
            }
            product.text += &evaluated.text;
        }
        Ok(product)
    }

    fn value(&self, value: &Value) -> Result<Evaluated, String> {
        let exact = |number: f64, text: String| Evaluated {
            number: Some(Number::exact(number)),
            text,
            ..Evaluated::default()
        };
        let name = match value {
            Value::Literal(number) => return Ok(exact(*number, format_number(*number))),
            Value::Named(name) => name,
        };
        if let Some(Count(number, label)) = self.counts.get(name) {
            return Ok(exact(*number, format!("{} {label}", format_number(*number))));
        }
        let (evaluated, unit) =
            self.named.get(name).ok_or_else(|| format!("no count or earlier row is named {name}"))?;
        let number = evaluated.number.map_or_else(|| format!("({name})"), |number| number.to_string());
        Ok(Evaluated { text: format!("{number} {unit}").trim_end().to_owned(), ..evaluated.clone() })
    }

    fn power(&self, [base, exponent]: &[Value; 2]) -> Result<Evaluated, String> {
        let (mut evaluated, exponent) = (self.value(base)?, self.value(exponent)?);
        evaluated.add_sources(&exponent);
        evaluated.number =
            evaluated.number.zip(exponent.number).map(|(base, exponent)| base.power(exponent.value));
        evaluated.text = format!("{} ^ {}", evaluated.text, exponent.text);
        Ok(evaluated)
    }

    fn measured(&self, measured: &Measured) -> Result<Evaluated, String> {
        let Measured { run, figure, within, take } = measured;
        let argument = match take {
            Take::At(value) | Take::Reaches(value) => self.value(value)?,
            Take::Slope | Take::Point(_) | Take::Max(_) => Evaluated::default(),
        };
        let mut evaluated = Evaluated::default();
        evaluated.add_sources(&argument);
        let Some(seeds) = self.runs.get(run) else {
            evaluated.missing_runs.insert(run.clone());
            let place = match take {
                Take::Slope => "slope".to_owned(),
                Take::At(_) => format!("at {}", argument.text),
                Take::Point(x) => format!("at {}", format_number(*x)),
                Take::Max(x) => format!("the most at {}", format_number(*x)),
                Take::Reaches(_) => format!("reaches {}", argument.text),
            };
            evaluated.text = format!("(`{figure}`, {place})");
            return Ok(evaluated);
        };
        evaluated.runs.insert(run.clone());
        let all = seeds.iter().flat_map(|run| &run.points);
        let mut points: Vec<(f64, f64)> =
            all.filter_map(|point| Some((point.x, *point.figures.get(figure)?))).collect();
        if points.is_empty() {
            return Err(format!("{run} has no figure {figure}"));
        }
        if let Take::Point(x) | Take::Max(x) = take {
            points.retain(|point| point.0 == *x);
            let number = mean(&points).ok_or_else(|| format!("{run} has no point at {x}"))?;
            let max = points.iter().map(|point| point.1).fold(f64::NEG_INFINITY, f64::max);
            let (number, prefix) = match take {
                Take::Max(_) => (Number::exact(max), "most "),
                _ => (number, ""),
            };
            evaluated.number = Some(number);
            evaluated.text = format!("({prefix}{number} at {})", format_number(*x));
            return Ok(evaluated);
        }
        if let Some([from, to]) = within {
            points.retain(|point| (*from..=*to).contains(&point.0));
        }
        let line = Line::through(&points).ok_or_else(|| {
            format!("{run}: cannot fit a line to {figure}: fewer than two distinct x values")
        })?;
        let (start, slope) = (format_number(line.fit.intercept), line.slope());
        match (take, argument.number) {
            (Take::At(_), Some(x)) => {
                let predicted = line.at(x.value);
                evaluated.number =
                    Some(Number { error: predicted.error.hypot(line.fit.slope * x.error), ..predicted });
                evaluated.extrapolations.extend(line.extrapolation_note(run, x.value));
                evaluated.text = format!("({start} + {slope} × {})", argument.text);
            }
            (Take::Reaches(_), Some(y)) => {
                evaluated.text = format!("({} - {start}) ÷ {slope}", argument.text);
                // A slope within two standard errors of 0 is not significant, so the line reaches nothing.
                if line.fit.slope > 2.0 * line.fit.slope_error {
                    let x = (y.value - line.fit.intercept) / line.fit.slope;
                    evaluated.number = Some(Number { value: x, error: line.at(x).error / line.fit.slope });
                    evaluated.extrapolations.extend(line.extrapolation_note(run, x));
                }
            }
            (Take::At(_) | Take::Reaches(_), None) => {
                evaluated.text = format!("({start} + {slope} × {})", argument.text);
            }
            (Take::Slope | Take::Point(_) | Take::Max(_), _) => {
                evaluated.number = Some(slope);
                evaluated.text = slope.to_string();
            }
        }
        Ok(evaluated)
    }
}

/// The mean over the seeds at one `x` with its standard error, which is 0 for a single seed.
fn mean(points: &[(f64, f64)]) -> Option<Number> {
    let n = points.len() as f64;
    let value = points.iter().map(|point| point.1).sum::<f64>() / n;
    let squared_deviations: f64 = points.iter().map(|point| (point.1 - value).powi(2)).sum();
    (n > 0.0).then(|| Number {
        value,
        error: if n > 1.0 { (squared_deviations / (n - 1.0) / n).sqrt() } else { 0.0 },
    })
}
