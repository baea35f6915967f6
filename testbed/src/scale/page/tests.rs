use super::*;
use crate::scale::Point;

/// A run with two seeds whose memory is 4 + 0.002 x, except at x = 1,000, where it is 0.1 too low and 0.1 too
/// high.
fn runs() -> BTreeMap<String, Vec<Run>> {
    let seed = |seed, off: f64| Run {
        run: "size".to_owned(),
        axis: "endpoints".to_owned(),
        seed,
        void: None,
        fixed: BTreeMap::from([("law".to_owned(), "Zipf".to_owned())]),
        points: [(0.0, 4.0), (1_000.0, 6.0 + off), (2_000.0, 8.0)]
            .map(|(x, y)| Point { x, figures: BTreeMap::from([("memory_mb".to_owned(), y)]) })
            .to_vec(),
    };
    BTreeMap::from([("size".to_owned(), vec![seed(1, -0.1), seed(2, 0.1)])])
}

fn rows_file(rows: &str) -> RowsFile {
    let counts = "counts.called = [500, \"endpoints\"]\n";
    toml::from_str(&(counts.to_owned() + rows)).expect("rows are valid TOML")
}

fn row(what: &str, rest: &str) -> String {
    format!("[[row]]\ntable = \"t\"\nwhat = \"{what}\"\n{rest}\n")
}

/// The cells of the table `t`, without the header.
fn table_rows(rows: &str) -> Result<Vec<Vec<String>>, String> {
    let tables = render_tables(&rows_file(rows), &runs())?;
    let cells = |line: &str| line.split('|').map(|cell| cell.trim().to_owned()).collect::<Vec<_>>();
    Ok(tables["t"].lines().skip(2).map(|line| cells(line)[1..8].to_vec()).collect())
}

/// The arithmetic shown in a row has to be the one that gives its result. The expected values of each way to
/// derive a value from a figure were calculated independently.
#[test]
fn rows_show_arithmetic_result_and_runs() {
    let memory = |take: &str| format!("{{ run = \"size\", figure = \"memory_mb\", {take} }}");
    let rows = [
        row(
            "at",
            &format!("name = \"one\"\nunit = \"MB\"\nbudget = 64\nsum = [[{}]]", memory("at = \"called\"")),
        ),
        row(
            "slope",
            &format!("unit = \"MB\"\nbudget = 1\nsum = [[\"called\", {}], [1]]", memory("slope = true")),
        ),
        row("point", &format!("sum = [[{}]]", memory("point = 1000"))),
        row("most", &format!("sum = [[{}]]", memory("most = 1000"))),
        row("reaches", &format!("unit = \"endpoints\"\nsum = [[{}]]", memory("reaches = 64"))),
        row("all", "unit = \"GB\"\nsum = [[36000, \"one\", { per = 1000 }]]"),
        row("chain", "budget = 10\nsum = [[{ power = [1.1, 21] }]]"),
    ];
    let table_rows = table_rows(&rows.concat()).expect("rows are valid");
    let [at, slope, point, most, reaches, all, chain] = table_rows.as_slice() else {
        panic!("{table_rows:?}")
    };
    // The fitted line goes exactly through the means, with a residual of 0.1 at two of six points: the error
    // of the mean is sqrt(0.02 / 4 / 6), the error of the slope sqrt(0.02 / 4 / 4,000,000).
    assert_eq!(at[1..4], ["(4 + 0.002 ± 0.000035 × 500 endpoints)", "5 ± 0.034 MB", "64 MB"]);
    assert_eq!(at[4..6], ["12.8 times", "`size`, seeds 1, 2"]);
    assert_eq!(slope[1..3], ["500 endpoints × 0.002 ± 0.000035 + 1", "2 ± 0.018 MB"]);
    assert_eq!(slope[4], "**over**: 2 times the budget");
    assert_eq!(point[1..3], ["(6 ± 0.1 at 1,000)", "6 ± 0.1"]);
    assert_eq!(most[1..3], ["(most 6.1 at 1,000)", "6.1"]);
    assert_eq!(reaches[1], "(64 - 4) ÷ 0.002 ± 0.000035");
    assert_eq!(reaches[2], "30,000 ± 513 endpoints");
    assert_eq!(reaches[5], "`size`, seeds 1, 2; beyond its line from 0 to 2,000 in `size`");
    assert_eq!(all[1..3], ["36,000 × 5 ± 0.034 MB ÷ 1,000", "180 ± 1.2 GB"]);
    assert_eq!(all[5], "`size`, seeds 1, 2");
    assert_eq!(chain[1..3], ["1.1 ^ 21", "7.4"]);
    assert_eq!(chain[4..6], ["1.35 times", "arithmetic"]);
}

/// An operation that dropped the error of an operand would show a result as more certain than it is. Rounding
/// and grouping of digits must not change the magnitude of a number.
#[test]
fn errors_propagate_and_digits_are_rounded() {
    let (two, three) = (Number { value: 2.0, error: 0.4 }, Number { value: 3.0, error: 0.3 });
    let close = |of: Number, value: f64, error: f64| {
        (of.value - value).abs() < 1e-12 && (of.error - error).abs() < 1e-12
    };
    assert!(close(two + three, 5.0, 0.5), "{}", two + three);
    assert!(close(two * three, 6.0, (1.2f64.powi(2) + 0.6f64.powi(2)).sqrt()), "{}", two * three);
    assert!(close(three / two, 1.5, (0.15f64.powi(2) + 0.3f64.powi(2)).sqrt()), "{}", three / two);
    assert!(close(two.power(3.0), 8.0, 4.8), "{}", two.power(3.0));
    assert_eq!(Number { value: 0.667, error: 1e-5 }.to_string(), "0.667");
    assert_eq!(Number { value: 0.0, error: 1e-5 }.to_string(), "0 ± 0.00001");
    let formatted = [0.0, -0.00123456, 12.345, 1_234.5, -1_234_567.0, 0.5].map(super::format_number);
    assert_eq!(formatted, ["0", "-0.00123", "12.3", "1,234", "-1,234,567", "0.5"]);
}

/// A row without a run, and each row that uses it, must not show a number. A number that differs from its
/// budget by less than its error must not be called within or over the budget.
#[test]
fn missing_runs_show_in_dependent_rows() {
    let rows = [
        row("none", "mechanism = \"later\""),
        row(
            "gone",
            "name = \"gone\"\nunit = \"MB\"\nbudget = 1\nsum = [[{ run = \"no\", figure = \"f\", slope = true }]]",
        ),
        row("after", "sum = [[2, \"gone\"]]"),
        row("close", "budget = 6.05\nsum = [[{ run = \"size\", figure = \"memory_mb\", point = 1000 }]]"),
        row(
            "flat",
            "sum = [[{ run = \"size\", figure = \"memory_mb\", within = [1000, 1000], reaches = 9 }]]",
        ),
    ];
    let table_rows = table_rows(&rows[..4].concat()).expect("rows are valid");
    assert_eq!(table_rows[0][1..], ["-", "not measured", "-", "-", "-", "later"]);
    assert_eq!(table_rows[1][1..6], ["(`f`, slope)", "not measured", "1 MB", "-", "`no`: none yet"]);
    assert_eq!(table_rows[2][1..6], ["2 × (gone) MB", "not measured", "-", "-", "`no`: none yet"]);
    assert_eq!(table_rows[3][4], "undecided: within the error");
    let why = self::table_rows(&rows[4]).expect_err("only one x value");
    assert_eq!(why, "t: flat: size: cannot fit a line to memory_mb: fewer than two distinct x values");
}

/// A misspelled figure, point or name has to be an error; otherwise its row would read "not measured" for
/// ever.
#[test]
fn unknown_names_are_errors_with_row() {
    let figure = |rest: &str| format!("sum = [[{{ run = \"size\", {rest} }}]]");
    for (rest, why) in [
        (figure("figure = \"memory\", slope = true"), "t: x: size has no figure memory"),
        (figure("figure = \"memory_mb\", point = 5"), "t: x: size has no point at 5"),
        ("sum = [[\"calls\"]]".to_owned(), "t: x: no count or earlier row is named calls"),
        ("name = \"called\"".to_owned(), "t: x: duplicate name called"),
    ] {
        assert_eq!(table_rows(&row("x", &rest)).expect_err("row is invalid"), why);
    }
    let wrong = row("x", &figure("figure = \"memory_mb\", slope = true, at = 3"));
    assert!(toml::from_str::<RowsFile>(&wrong).is_err());
}

/// Regenerating has to replace each table and leave the text around it alone. A table without a marker, or a
/// marker without an end, would otherwise leave an outdated table on the page or delete text after it.
#[test]
fn only_text_between_markers_is_replaced() {
    let tables = BTreeMap::from([("t".to_owned(), "| new |\n".to_owned())]);
    let page = "# Page\n\n<!-- table: t -->\n| old |\n<!-- end -->\nafter\n";
    let new = fill_tables(page, &tables).expect("page has all markers");
    assert_eq!(new, "# Page\n\n<!-- table: t -->\n\n| new |\n\n<!-- end -->\nafter\n");
    assert_eq!(fill_tables(&new, &tables), Ok(new.clone()));
    let difference = first_difference(page, &new).expect("texts differ");
    assert_eq!(
        (difference.line, difference.actual.as_str(), difference.expected.as_str()),
        (4, "| old |", "")
    );
    assert_eq!(first_difference(&new, &new), None);
    assert_eq!(
        first_difference("a\n", "a\nb\n").map(|difference| difference.actual),
        Some("(the end)".to_owned())
    );
    for (page, why) in [
        ("<!-- table: t -->\n", "line 1: table t has no <!-- end -->"),
        ("<!-- table: t -->\n<!-- table: u -->\n<!-- end -->", "line 1: table t has no <!-- end -->"),
        ("<!-- table: u -->\n<!-- end -->\n", "line 1: unknown table u: no row belongs to it"),
        ("nothing\n", "page has no marker for table t"),
    ] {
        assert_eq!(fill_tables(page, &tables), Err(why.to_owned()));
    }
    assert!(fill_tables(&(new.clone() + &new), &tables).is_err_and(|why| why.contains("duplicate table t")));
}
