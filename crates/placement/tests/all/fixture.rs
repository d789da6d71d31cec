//! Targets and selection criteria.

use std::time::Duration;

use carobdrift_placement::{Criteria, Endpoint, Lifecycle, Load, Pool};
use carobdrift_units::Target;
use tokio::time::Instant;

pub(crate) fn target(name: &str) -> Target {
    name.parse().unwrap()
}

pub(crate) fn endpoint(name: &str) -> Endpoint {
    Endpoint {
        id: target(name),
        started_ms: 1,
        service: "sheets".parse().unwrap(),
        address: "127.0.0.1:80".parse().unwrap(),
        zone: "z1".parse().unwrap(),
        slots: 2,
        lifecycle: Lifecycle::Ready,
        warmup: Duration::ZERO,
    }
}

pub(crate) fn pool(names: &[&str], now: Instant) -> Pool {
    let mut pool = Pool::new("z1".parse().unwrap());
    for name in names {
        pool.put(endpoint(name), now);
    }
    pool
}

pub(crate) fn load(running: u32, slowdown: f64) -> Load {
    Load {
        running,
        waiting: 0,
        slots: 2,
        slowdown,
    }
}

pub(crate) fn criteria() -> Criteria<'static> {
    Criteria {
        tried: &[],
        probed: &[],
        idempotent: true,
        immediate: false,
        max_cost: 100.0,
    }
}
