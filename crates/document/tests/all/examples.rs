//! Guards against example documents that the parser rejects.

use std::fs;
use std::path::Path;

use carobdrift_document::{Ceilings, Document};

#[test]
fn all_examples_are_accepted_within_the_default_ceilings() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let expected = [
        ("bookdesk", 7, 6),
        ("draws", 6, 2),
        ("entries", 8, 2),
        ("paycake", 6, 6),
        ("sheets", 20, 2),
        ("slotboard", 13, 6),
    ];
    for (service, targets, slots) in expected {
        let bytes = fs::read(directory.join(format!("{service}.json"))).unwrap();

        let document = Document::parse(&bytes).unwrap_or_else(|error| panic!("{error:?}"));

        assert_eq!(document.service.as_str(), service);
        assert_eq!(document.targets.len(), targets, "{service}");
        assert!(document.targets.iter().all(|target| target.slots == slots));
        assert_eq!(document.check(&Ceilings::default()), Ok(()), "{service}");
    }
}
