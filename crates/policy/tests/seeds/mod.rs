//! Summary of the outputs of a script that runs with several seeds.

/// Returns, for each line of the outputs, the line with the worst value, its seed and all seeds that fail.
///
/// # Panics
///
/// If the outputs differ in their number of lines or if a line has no number.
pub fn worst_lines(outputs: &[(u64, String)]) -> String {
    let (_, first) = outputs.first().expect("a seed");
    let count = first.lines().count();
    let lines = (0..count).map(|at| {
        let lines = outputs.iter().map(|(seed, output)| {
            assert_eq!(output.lines().count(), count, "lines with seed {seed}");
            let line = output.lines().nth(at).expect("a line");
            (*seed, line)
        });
        summarize_line(&lines.collect::<Vec<_>>())
    });
    lines.collect()
}

fn summarize_line(lines: &[(u64, &str)]) -> String {
    let worst = lines.iter().max_by(|(_, a), (_, b)| {
        let key = |line| (has_failed(line), severity(line));
        key(a).partial_cmp(&key(b)).expect("comparable numbers")
    });
    let (seed, line) = worst.expect("a seed");
    let failed: Vec<String> = lines
        .iter()
        .filter(|(_, line)| has_failed(line))
        .map(|(seed, _)| seed.to_string())
        .collect();
    let failed = match failed.len() {
        0 => String::new(),
        count => format!(", fails with {count}: {}", failed.join(" ")),
    };
    format!(
        "{line} (worst of {} seeds, seed {seed}{failed})\n",
        lines.len()
    )
}

fn has_failed(line: &str) -> bool {
    line.contains("EXCEEDED") || line.contains("VIOLATED")
}

/// Returns the number of a line as a value that grows as the result gets worse, so negated for a shortest time.
fn severity(line: &str) -> f64 {
    let sign = if line.starts_with("shortest") {
        -1.0
    } else {
        1.0
    };
    sign * first_number(line)
}

/// Returns the first number of a line.
fn first_number(line: &str) -> f64 {
    let mut words = line.split_whitespace();
    words
        .find_map(|word| word.trim_end_matches(',').parse().ok())
        .expect("a number in the line")
}
