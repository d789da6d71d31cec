//! Shares as they are sent and as the pools have them.

use carobdrift_balance::{Demand, Share};
use carobdrift_units::Class;
use carobdrift_wire::{Quota, Requirement};

pub(crate) fn share(portion: Quota) -> Share {
    Share {
        in_flight: portion.in_flight,
        per_second: portion.per_second,
    }
}

pub(crate) fn portion(share: Share) -> Quota {
    Quota {
        in_flight: share.in_flight,
        per_second: share.per_second,
    }
}

pub(crate) fn want(class: Option<&Class>, demand: Demand) -> Requirement {
    Requirement {
        class: class.cloned(),
        want: portion(demand.wanted),
        held: portion(demand.held),
    }
}

pub(crate) fn demand(want: &Requirement) -> Demand {
    Demand {
        wanted: share(want.want),
        held: share(want.held),
    }
}
