//! Shares as they are sent and as the pools have them.

use carobdrift_balance::{Share, Statement};
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

pub(crate) fn want(class: Option<&Class>, statement: Statement) -> Requirement {
    Requirement {
        class: class.cloned(),
        want: portion(statement.want),
        held: portion(statement.held),
    }
}

pub(crate) fn statement(want: &Requirement) -> Statement {
    Statement {
        want: share(want.want),
        held: share(want.held),
    }
}
