use super::*;
use crate::scale::Point;

/// Memory of 4 + 0.002 x, met at 1,000 by 0.1 too little and too much.
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

fn book(rows: &str) -> Book {
    let counts = "counts.called = [500, \"endpoints\"]\n";
    toml::from_str(&(counts.to_owned() + rows)).expect("rows")
}

fn row(what: &str, rest: &str) -> String {
    format!("[[row]]\ntable = \"t\"\nwhat = \"{what}\"\n{rest}\n")
}

/// The cells of the table `t`, without its head.
fn made(rows: &str) -> Result<Vec<Vec<String>>, String> {
    let tables = tables(&book(rows), &runs())?;
    let cells = |line: &str| line.split('|').map(|cell| cell.trim().to_owned()).collect::<Vec<_>>();
    Ok(tables["t"].lines().skip(2).map(|line| cells(line)[1..8].to_vec()).collect())
}

/// Guards against a row whose arithmetic is not what it shows: each way to take a figure, by hand.
#[test]
fn rows_show_what_they_come_to_and_what_they_rest_on() {
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
    let made = made(&rows.concat()).expect("a table");
    let [at, slope, point, most, reaches, all, chain] = made.as_slice() else { panic!("{made:?}") };
    // The line is exact on the mean, and what is left over is 0.1 at two of six points: its middle has an error of
    // sqrt(0.02 / 4 / 6), its slope one of sqrt(0.02 / 4 / 4,000,000).
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

/// Guards against errors that get lost on the way, and against numbers that read as others.
#[test]
fn errors_follow_their_numbers_and_digits_their_size() {
    let (two, three) = (Number { is: 2.0, error: 0.4 }, Number { is: 3.0, error: 0.3 });
    let close =
        |of: Number, is: f64, error: f64| (of.is - is).abs() < 1e-12 && (of.error - error).abs() < 1e-12;
    assert!(close(two + three, 5.0, 0.5), "{}", two + three);
    assert!(close(two * three, 6.0, (1.2f64.powi(2) + 0.6f64.powi(2)).sqrt()), "{}", two * three);
    assert!(close(three / two, 1.5, (0.15f64.powi(2) + 0.3f64.powi(2)).sqrt()), "{}", three / two);
    assert!(close(two.power(3.0), 8.0, 4.8), "{}", two.power(3.0));
    assert_eq!(Number { is: 0.667, error: 1e-5 }.to_string(), "0.667");
    assert_eq!(Number { is: 0.0, error: 1e-5 }.to_string(), "0 ± 0.00001");
    let written = [0.0, -0.00123456, 12.345, 1_234.5, -1_234_567.0, 0.5].map(super::written);
    assert_eq!(written, ["0", "-0.00123", "12.3", "1,234", "-1,234,567", "0.5"]);
}

/// Guards against a claim without its run, and against a budget that the error does not tell from what was measured.
#[test]
fn what_was_not_measured_says_so_and_so_does_all_that_rests_on_it() {
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
    let made = made(&rows[..4].concat()).expect("a table");
    assert_eq!(made[0][1..], ["-", "not measured", "-", "-", "-", "later"]);
    assert_eq!(made[1][1..6], ["(`f`, slope)", "not measured", "1 MB", "-", "`no`: none yet"]);
    assert_eq!(made[2][1..6], ["2 × (gone) MB", "not measured", "-", "-", "`no`: none yet"]);
    assert_eq!(made[3][4], "undecided: within the error");
    let why = self::made(&rows[4]).expect_err("one place");
    assert_eq!(why, "t: flat: size: no line goes through memory_mb: one place only");
}

/// Guards against rows that name what is not there, which would else read as not measured for ever.
#[test]
fn a_name_that_nothing_has_is_an_error_that_names_the_row() {
    let figure = |rest: &str| format!("sum = [[{{ run = \"size\", {rest} }}]]");
    for (rest, why) in [
        (figure("figure = \"memory\", slope = true"), "t: x: size has no figure memory"),
        (figure("figure = \"memory_mb\", point = 5"), "t: x: size was not measured at 5"),
        ("sum = [[\"calls\"]]".to_owned(), "t: x: no count or earlier row is calls"),
        ("name = \"called\"".to_owned(), "t: x: called is the name of another"),
    ] {
        assert_eq!(made(&row("x", &rest)).expect_err("wrong"), why);
    }
    let wrong = row("x", &figure("figure = \"memory_mb\", slope = true, at = 3"));
    assert!(toml::from_str::<Book>(&wrong).is_err());
}

/// Guards against a page that keeps an old table, loses one, or loses what stands beside them.
#[test]
fn tables_go_between_their_marks_and_nothing_else_changes() {
    let tables = BTreeMap::from([("t".to_owned(), "| new |\n".to_owned())]);
    let page = "# Page\n\n<!-- table: t -->\n| old |\n<!-- end -->\nafter\n";
    let new = filled(page, &tables).expect("filled");
    assert_eq!(new, "# Page\n\n<!-- table: t -->\n\n| new |\n\n<!-- end -->\nafter\n");
    assert_eq!(filled(&new, &tables), Ok(new.clone()));
    let difference = first_difference(page, &new).expect("they differ");
    assert_eq!((difference.line, difference.is.as_str(), difference.ought.as_str()), (4, "| old |", ""));
    assert_eq!(first_difference(&new, &new), None);
    assert_eq!(first_difference("a\n", "a\nb\n").map(|there| there.is), Some("(the end)".to_owned()));
    for (page, why) in [
        ("<!-- table: t -->\n", "line 1: the table t has no <!-- end -->"),
        ("<!-- table: t -->\n<!-- table: u -->\n<!-- end -->", "line 1: the table t has no <!-- end -->"),
        ("<!-- table: u -->\n<!-- end -->\n", "line 1: no row is of the table u"),
        ("nothing\n", "no place for the table t"),
    ] {
        assert_eq!(filled(page, &tables), Err(why.to_owned()));
    }
    assert!(filled(&(new.clone() + &new), &tables).is_err_and(|why| why.contains("a second time")));
}
