//! Guards against new requests or probes to a target that leaves, and against
//! requests that fail because the target leaves.

use std::time::Duration;

use carobdrift_test_support::load;
use carobdrift_test_support::platform::{Listing, State};
use carobdrift_test_support::target::Action;
use http::StatusCode;

use crate::installation::{Installation, SERVICE, incomplete, orders, views};

/// Time after which a leaving target must get no new requests or probes
/// (invariant I5).
const DRAIN_BOUND: Duration = Duration::from_secs(3);

/// Source that first states that a target leaves.
#[derive(Debug, Clone, Copy)]
enum Source {
    Header,
    List,
    Document,
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_states_draining_gets_nothing_new() {
    drain(Source::Header).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_the_instance_list_marks_as_leaving_gets_nothing_new() {
    drain(Source::List).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_the_document_marks_as_leaving_gets_nothing_new() {
    drain(Source::Document).await;
}

async fn drain(source: Source) {
    let mut installation = Installation::start().await;
    installation.serve(SERVICE, 4, 30.0).await;
    let start_id: String = installation.fleet.targets[1]
        .process
        .startup_field("start")
        .unwrap();
    let id = installation.fleet.targets[1].id.parse().unwrap();
    let zone = installation.fleet.targets[1].zone.parse().unwrap();
    let listing = Listing::target(&id, SERVICE.parse().unwrap(), zone, Some(start_id));
    let put_instance = installation.fleet.platform.put_instance(&listing);
    put_instance.await.unwrap();
    let streams = [views(70.0), orders(50.0)];
    let callers = installation.callers();
    let before = load::run(&streams, &callers, Duration::from_secs(1), 3).await;
    let target = &installation.fleet.targets[1];
    assert!(!installation.fleet.runs(target).await.unwrap().is_empty());

    // Until the bound has passed, only one entry is called, so the other entries
    // learn that the target leaves from that entry, the list or the document.
    let single_caller = [installation.caller_of(0)];
    let address = installation.fleet.entries[0].caller;
    let load = tokio::spawn(async move {
        assert_eq!(single_caller[0].entries(SERVICE).await.unwrap()[0], address);
        load::run(&streams, &single_caller, DRAIN_BOUND, 4).await
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    mark_as_leaving(&installation, source, listing).await;
    tokio::time::sleep(DRAIN_BOUND).await;
    let at_bound = runs_and_probes(&installation).await;
    let streams = [views(100.0), orders(60.0)];
    let after = load::run(&streams, &callers, Duration::from_secs(3), 5).await;

    assert_eq!(
        runs_and_probes(&installation).await,
        at_bound,
        "new runs or probes after the bound"
    );
    for records in [before, load.await.unwrap(), after] {
        assert!(
            incomplete(&records).is_empty(),
            "{:?}",
            incomplete(&records)
        );
        installation.check_records(SERVICE, &records).await;
    }
}

/// Makes the source state that the second target leaves.
async fn mark_as_leaving(installation: &Installation, source: Source, listing: Listing) {
    let fleet = &installation.fleet;
    match source {
        Source::Header => {
            let drain = Action::Drain {
                at_least_ms: 20_000,
            };
            fleet.perform(&fleet.targets[1], &drain).await.unwrap();
        }
        Source::List => {
            let listing = listing.with_state(State::Leaving);
            fleet.platform.put_instance(&listing).await.unwrap();
        }
        Source::Document => {
            let mut document = installation.document(SERVICE);
            document["targets"][1]["state"] = "leaving".into();
            let (status, response) = installation.put(2, SERVICE, 1, "leave", &document).await;
            assert_eq!(status, StatusCode::OK, "{response}");
        }
    }
}

/// Returns the numbers of runs and probes that the leaving target has received.
async fn runs_and_probes(installation: &Installation) -> (usize, usize) {
    let target = &installation.fleet.targets[1];
    let runs = installation.fleet.runs(target).await.unwrap().len();
    (runs, installation.fleet.probe_count(target).await.unwrap())
}
