//! Tests of the check of the tables: inputs with the exact findings of each.

use {
    skylarkflow_store::{
        check::{self, Tables},
        finding::Finding,
        table::{Pools, Routes},
    },
    std::fmt::Write,
};

/// Separates the two tables in the input of a case.
const SEPARATOR: &str = "== pools\n";

fn render(findings: &[Finding]) -> String {
    findings.iter().fold(String::new(), |mut text, finding| {
        writeln!(text, "{finding}").expect("a string takes any text");
        text
    })
}

fn check_tables(input: &str) -> Result<Tables, Vec<Finding>> {
    let input = format!("{input}\n");
    let (routes, pools) = input.split_once(SEPARATOR).unwrap_or((&input, ""));
    let routes = Routes::from_str("routes.yaml", routes);
    let pools = Pools::from_str("pools.yaml", pools);
    check::check(&routes, &pools)
}

fn check_edit(store: &Tables, input: &str) -> String {
    match check_tables(input) {
        Ok(tables) => {
            let findings = check::moved_addresses(&tables, &store.routes, &store.pools);
            format!("{}{} findings\n", render(&findings), findings.len())
        }
        Err(findings) => render(&findings),
    }
}

fn generate_pool(count: usize, name_bytes: usize) -> String {
    let mut text = String::from(
        "routes: []\n== pools\npools:\n  - name: dispatch\n    slots: 2\n    connections: 2000\n    upstreams:\n",
    );
    for index in 0..count {
        let (high, low) = (index / 250, index % 250 + 1);
        let (a, b) = (high / 250, high % 250);
        writeln!(
            text,
            "      - {{name: u{index:0>name_bytes$}, address: '10.{a}.{b}.{low}:5683', zone: z}}"
        )
        .expect("a string takes any text");
    }
    text
}

/// Guards against an invalid table that is accepted, a finding without its location, and a check that stops at the
/// first finding.
#[test]
fn findings_have_their_location_and_code() {
    datadriven::walk("tests/testdata", |file| {
        let mut store = Tables::default();
        file.run(|case| match &*case.directive {
            "check" => match check_tables(&case.input) {
                Ok(tables) => {
                    let (routes, pools) = (tables.routes.len(), tables.pools.len());
                    format!("{routes} routes, {pools} pools\n")
                }
                Err(findings) => render(&findings),
            },
            "store" => {
                store = check_tables(&case.input).expect("the stored tables have no findings");
                String::new()
            }
            "edit" => check_edit(&store, &case.input),
            "generate" => {
                let count = case.take_arg("upstreams").expect("a number of upstreams");
                let bytes = case.take_arg("name-bytes").expect("a length");
                match check_tables(&generate_pool(count, bytes)) {
                    Ok(_) => "accepted\n".to_owned(),
                    Err(findings) => render(&findings),
                }
            }
            other => panic!("unknown directive {other}"),
        });
    });
}

/// Guards against a finding without its location when the file is not UTF-8.
#[test]
fn bytes_that_are_not_utf8_are_a_finding() {
    let routes = Routes::from_slice("routes.yaml", b"routes:\n  - name: \xff\n");
    let findings = check::check(&routes, &Pools::from_str("pools.yaml", "pools: []"));
    let findings = findings.expect_err("a finding");
    assert_eq!(
        render(&findings),
        "routes.yaml:2:11: T002: the file is not UTF-8\n"
    );
}
