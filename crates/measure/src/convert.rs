//! Conversion of shares and demands between the wire and the pools.

use carobdrift_balance::{Demand, Share};
use carobdrift_units::Class;
use carobdrift_wire as wire;

pub(crate) fn share_from_wire(share: wire::Share) -> Share {
    Share {
        in_flight: share.in_flight,
        per_second: share.per_second,
    }
}

pub(crate) fn share_to_wire(share: Share) -> wire::Share {
    wire::Share {
        in_flight: share.in_flight,
        per_second: share.per_second,
    }
}

pub(crate) fn demand_to_wire(class: Option<&Class>, demand: Demand) -> wire::Demand {
    wire::Demand {
        class: class.cloned(),
        want: share_to_wire(demand.wanted),
        held: share_to_wire(demand.held),
    }
}

pub(crate) fn demand_from_wire(demand: &wire::Demand) -> Demand {
    Demand {
        wanted: share_from_wire(demand.want),
        held: share_from_wire(demand.held),
    }
}
