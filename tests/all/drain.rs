//! Guards against new work for a target that leaves, and against requests that
//! its departure cuts off.

use std::time::Duration;

use carobdrift_test_support::load;
use carobdrift_test_support::platform::{Listing, State};
use carobdrift_test_support::target::Action;
use http::StatusCode;

use crate::installation::{Installation, SERVICE, lost, orders, views};

/// Bound of invariant I5.
const BOUND: Duration = Duration::from_secs(3);

/// Source that shows first that a target leaves.
#[derive(Debug, Clone, Copy)]
enum Source {
    Header,
    List,
    Document,
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_says_so_itself_gets_nothing_new() {
    drain(Source::Header).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_the_list_shows_as_leaving_gets_nothing_new() {
    drain(Source::List).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_the_document_names_as_leaving_gets_nothing_new() {
    drain(Source::Document).await;
}

async fn drain(source: Source) {
    let mut installation = Installation::start().await;
    installation.serve(SERVICE, 4, 30.0).await;
    let start: String = installation.fleet.targets[1]
        .process
        .startup_field("start")
        .unwrap();
    let id = installation.fleet.targets[1].id.parse().unwrap();
    let zone = installation.fleet.targets[1].zone.parse().unwrap();
    let listing = Listing::target(&id, SERVICE.parse().unwrap(), zone, Some(start));
    let put_instance = installation.fleet.platform.put_instance(&listing);
    put_instance.await.unwrap();
    let streams = [views(70.0), orders(50.0)];
    let callers = installation.callers();
    let before = load::run(&streams, &callers, Duration::from_secs(1), 3).await;
    let target = &installation.fleet.targets[1];
    assert!(!installation.fleet.runs(target).await.unwrap().is_empty());

    // Up to the bound only one entry is called, so that the others learn it
    // from that one, from the list or from the document.
    let one = [installation.caller_of(0)];
    let address = installation.fleet.entries[0].caller;
    let load = tokio::spawn(async move {
        assert_eq!(one[0].entries(SERVICE).await.unwrap()[0], address);
        load::run(&streams, &one, BOUND, 4).await
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    show(&installation, source, listing).await;
    tokio::time::sleep(BOUND).await;
    let seen = work(&installation).await;
    let streams = [views(100.0), orders(60.0)];
    let after = load::run(&streams, &callers, Duration::from_secs(3), 5).await;

    assert_eq!(work(&installation).await, seen, "runs and probes");
    for records in [before, load.await.unwrap(), after] {
        assert!(lost(&records).is_empty(), "{:?}", lost(&records));
        installation.judge(SERVICE, &records).await;
    }
}

async fn show(installation: &Installation, source: Source, listing: Listing) {
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
            let (status, answer) = installation.put(2, SERVICE, 1, "leave", &document).await;
            assert_eq!(status, StatusCode::OK, "{answer}");
        }
    }
}

/// Runs and probes that the leaving target got so far.
async fn work(installation: &Installation) -> (usize, usize) {
    let target = &installation.fleet.targets[1];
    let runs = installation.fleet.runs(target).await.unwrap().len();
    (runs, installation.fleet.probe_count(target).await.unwrap())
}
