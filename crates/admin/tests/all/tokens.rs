//! Guards against faulty token settings that are accepted, and against tokens
//! in error messages and debug output.

use std::fmt::Write;

use carobdrift_admin::Tokens;
use expect_test::expect;

#[test]
fn faulty_settings_are_refused_without_the_token() {
    let token = "team-secret-0123456789";
    let cases: [&[&str]; 6] = [
        &["team-secret-0123456789"],
        &["Meets=team-secret-0123456789"],
        &["meets=short-secret"],
        &["meets=team secret 0123456789"],
        &[
            "meets=team-secret-0123456789",
            "draws=team-secret-0123456789",
        ],
        &["meets=operator-secret-01"],
    ];
    let mut shown = String::new();
    for teams in cases {
        let error = Tokens::parse(Some("operator-secret-01"), teams).unwrap_err();

        writeln!(shown, "{error}").unwrap();
    }
    assert!(!shown.contains("secret"), "{shown}");
    expect![[r#"
        team token 1 is not of the form team=token
        team of team token 1: must not contain 'M'; permitted are a-z, 0-9 and "-"
        the token of team meets must have at least 16 visible ASCII characters
        the token of team meets must have at least 16 visible ASCII characters
        the token of team draws is also that of another team or of the operator
        the token of team meets is also that of another team or of the operator
    "#]]
    .assert_eq(&shown);
    let tokens = Tokens::parse(None, &[format!("meets={token}")]).unwrap();
    assert!(!format!("{tokens:?}").contains(token));
}
