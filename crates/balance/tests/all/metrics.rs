//! Tests of the metrics of a pool.

use std::sync::Arc;

use carobdrift_balance::{Metrics, Outcome, Pool, Purpose};
use carobdrift_document::Policy;
use carobdrift_units::Version;
use prometheus::{Registry, TextEncoder};

use crate::fixture::{self, acquire, call, finish};

/// Fails when an event is not counted under its service, class and reason.
#[tokio::test(start_paused = true)]
async fn every_kind_of_event_is_counted() {
    let registry = Registry::new();
    let metrics = Metrics::register(&registry).expect("the registry is new");
    let mut document = fixture::document(Policy::Adaptive, 2, 1);
    document.classes[0].max_queue = 0;
    let pool = Pool::new(Arc::new(document), Version(1), fixture::config(), metrics);
    pool.quota().set_even_split(Some(1));

    for _ in 0..20 {
        finish(acquire(&pool).await, Outcome::Success);
    }
    let failing = fixture::target(0);
    while fixture::standing(&pool, 0) == carobdrift_balance::Standing::Active {
        let slots = [acquire(&pool).await, acquire(&pool).await];
        for slot in slots {
            let failed = *slot.target() == failing;
            finish(
                slot,
                if failed {
                    Outcome::Failure
                } else {
                    Outcome::Success
                },
            );
        }
    }
    let retry = pool.try_acquire(&call(100), Purpose::Retry, std::slice::from_ref(&failing));
    drop(retry);
    drop(pool.try_acquire(&call(100), Purpose::Hedge, &[failing]));
    let _held = acquire(&pool).await;
    assert!(pool.acquire(&call(100)).await.is_err());

    let text = TextEncoder::new()
        .encode_to_string(&registry.gather())
        .expect("the metrics are valid");
    for line in [
        r#"carobdrift_attempt_seconds_count{class="view",service="sheets"} 25"#,
        r#"carobdrift_queue_seconds_count{class="view",service="sheets"} 31"#,
        r#"carobdrift_sheds_total{class="view",reason="queue-full",service="sheets"} 1"#,
        r#"carobdrift_ejections_total{service="sheets"} 1"#,
        r#"carobdrift_retries_total{class="view",service="sheets"} 1"#,
        r#"carobdrift_hedges_total{class="view",service="sheets"} 1"#,
    ] {
        assert!(text.contains(line), "{line} is missing in\n{text}");
    }
}
