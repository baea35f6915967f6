//! Numbers with their error, and how they are written.

use std::fmt;
use std::ops::{Add, Div, Mul};

/// An error below this part of its number is not shown.
const UNSEEN: f64 = 1e-4;

/// What was worked out, and its standard error. Errors of different figures are taken as independent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Number {
    /// The number.
    pub is: f64,
    /// In its unit; 0 for what is known exactly.
    pub error: f64,
}

impl Number {
    /// One without an error.
    pub fn exact(is: f64) -> Number {
        Number { is, error: 0.0 }
    }

    /// Raised to an exact power.
    pub fn power(self, by: f64) -> Number {
        Number { is: self.is.powf(by), error: (by * self.is.powf(by - 1.0) * self.error).abs() }
    }
}

impl Add for Number {
    type Output = Number;

    fn add(self, other: Number) -> Number {
        Number { is: self.is + other.is, error: self.error.hypot(other.error) }
    }
}

impl Mul for Number {
    type Output = Number;

    fn mul(self, other: Number) -> Number {
        Number { is: self.is * other.is, error: (self.error * other.is).hypot(other.error * self.is) }
    }
}

impl Div for Number {
    type Output = Number;

    fn div(self, other: Number) -> Number {
        let is = self.is / other.is;
        Number { is, error: (self.error / other.is).hypot(is * other.error / other.is) }
    }
}

impl fmt::Display for Number {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&written(self.is))?;
        // Less than what is written of the number itself.
        if self.error > UNSEEN * self.is.abs() { write!(f, " ± {}", digits(self.error, 2)) } else { Ok(()) }
    }
}

/// To three digits, and all of those before the point.
pub fn written(number: f64) -> String {
    digits(number, 3)
}

fn digits(number: f64, most: i32) -> String {
    if !number.is_finite() {
        return number.to_string();
    }
    let before = if number == 0.0 { 1 } else { number.abs().log10().floor() as i32 + 1 };
    let text = format!("{number:.*}", usize::try_from(most - before).unwrap_or(0));
    let (whole, part) = text.split_once('.').unwrap_or((&text, ""));
    let (sign, whole) = whole.strip_prefix('-').map_or(("", whole), |whole| ("-", whole));
    let mut grouped = sign.to_owned();
    for (n, digit) in whole.char_indices() {
        if n > 0 && (whole.len() - n) % 3 == 0 {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    let part = part.trim_end_matches('0');
    if part.is_empty() { grouped } else { format!("{grouped}.{part}") }
}
