//! Guards against errors in documents that `check` does not report, or that it
//! reports with exit status 0.

use std::fs;

use expect_test::expect;

use crate::{carobdrift, outcome};

#[test]
fn examples_are_valid() {
    let output = carobdrift(&["check", "examples/sheets.json", "examples/paycake.json"])
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .output()
        .unwrap();

    assert_eq!(outcome(&output), (Some(0), String::new(), String::new()));
}

#[test]
fn all_faults_of_all_files_are_printed() {
    let directory = env!("CARGO_TARGET_TMPDIR");
    let text = fs::read_to_string("examples/draws.json").unwrap();
    let faulty = text.replacen(r#""slots": 2"#, r#""slots": 0"#, 1).replacen(
        r#""class": "view""#,
        r#""class": "viewing""#,
        1,
    );
    fs::write(format!("{directory}/faulty.json"), faulty).unwrap();

    let output = carobdrift(&["check", "faulty.json", "absent.json"])
        .current_dir(directory)
        .output()
        .unwrap();

    let (status, out, err) = outcome(&output);
    assert_eq!(status, Some(1));
    expect![[r#"
        faulty.json: routes[0].class: class viewing does not exist
        faulty.json: targets[0].slots: must be between 1 and 1024, not 0
    "#]]
    .assert_eq(&out);
    expect![[r#"
        error: could not read absent.json: No such file or directory (os error 2)
    "#]]
    .assert_eq(&err);
}
