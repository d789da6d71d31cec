//! Guards against a committed `OpenAPI` description that differs from the API.
//! `UPDATE_EXPECT=1 cargo test -p carobdrift-admin` updates the description.

use expect_test::expect_file;

#[test]
fn committed_description_is_current() {
    let description = carobdrift_admin::openapi().unwrap();

    expect_file!["../../../../docs/openapi.json"].assert_eq(&description);
}
