//! Guards against a read load on the store that grows with the number of entries.

use std::time::Duration;

use crate::fixture::{Node, cell, stand_in};

/// Time over which reads are counted.
const WINDOW: Duration = Duration::from_secs(6);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn polls_stay_nearly_constant_as_entries_are_added() {
    let mut rates = Vec::new();
    for count in [3, 6, 15] {
        let stand_in = stand_in().await;
        let nodes = cell(&stand_in, count).await;
        let polls = || nodes.iter().map(Node::polls).sum::<f64>();
        let (polls_before, reads_before) = (polls(), stand_in.counts().reads);

        tokio::time::sleep(WINDOW).await;

        let rate = (polls() - polls_before) / WINDOW.as_secs_f64();
        let reads = stand_in.counts().reads - reads_before;
        println!(
            "{count} entries: {rate:.2} polls/s, {reads} reads in {WINDOW:?}, including the instance list"
        );
        rates.push(rate);
    }
    // With one poll per second and entry, 15 entries would poll 5 times as often
    // as 3.
    assert!(rates[2] < 2.0 * rates[0].max(1.0), "{rates:?}");
}
