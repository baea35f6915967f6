//! Numbers with a standard error, and their formatting.

use std::fmt;
use std::ops::{Add, Div, Mul};

/// A relative error up to this is not shown: the number itself has fewer digits.
const MIN_SHOWN_RELATIVE_ERROR: f64 = 1e-4;

/// A number and its standard error. The errors of two operands are assumed to be independent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Number {
    /// The number itself.
    pub value: f64,
    /// Standard error, in the unit of the number; 0 for exact numbers.
    pub error: f64,
}

impl Number {
    /// Creates a number without an error.
    pub fn exact(value: f64) -> Number {
        Number { value, error: 0.0 }
    }

    /// Raises the number to an exact power.
    pub fn power(self, exponent: f64) -> Number {
        Number {
            value: self.value.powf(exponent),
            error: (exponent * self.value.powf(exponent - 1.0) * self.error).abs(),
        }
    }
}

impl Add for Number {
    type Output = Number;

    fn add(self, other: Number) -> Number {
        Number { value: self.value + other.value, error: self.error.hypot(other.error) }
    }
}

impl Mul for Number {
    type Output = Number;

    fn mul(self, other: Number) -> Number {
        Number {
            value: self.value * other.value,
            error: (self.error * other.value).hypot(other.error * self.value),
        }
    }
}

impl Div for Number {
    type Output = Number;

    fn div(self, other: Number) -> Number {
        let value = self.value / other.value;
        Number { value, error: (self.error / other.value).hypot(value * other.error / other.value) }
    }
}

impl fmt::Display for Number {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&format_number(self.value))?;
        if self.error > MIN_SHOWN_RELATIVE_ERROR * self.value.abs() {
            write!(f, " ± {}", format_digits(self.error, 2))
        } else {
            Ok(())
        }
    }
}

/// Formats a number with three significant digits, or all its integer digits if there are more, in groups of
/// three.
pub fn format_number(number: f64) -> String {
    format_digits(number, 3)
}

fn format_digits(number: f64, significant_digits: i32) -> String {
    if !number.is_finite() {
        return number.to_string();
    }
    let integer_digits = if number == 0.0 { 1 } else { number.abs().log10().floor() as i32 + 1 };
    let text = format!("{number:.*}", usize::try_from(significant_digits - integer_digits).unwrap_or(0));
    let (integer, fraction) = text.split_once('.').unwrap_or((&text, ""));
    let (sign, integer) = integer.strip_prefix('-').map_or(("", integer), |integer| ("-", integer));
    let mut grouped = sign.to_owned();
    for (index, digit) in integer.char_indices() {
        if index > 0 && (integer.len() - index) % 3 == 0 {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    let fraction = fraction.trim_end_matches('0');
    if fraction.is_empty() { grouped } else { format!("{grouped}.{fraction}") }
}
