//! Budgets for retries and hedges.

use carobdrift_units::Percent;

/// Token limit, which bounds a burst of attempts after a period without any.
const MAX_TOKENS: f64 = 10.0;

/// Token bucket to which each request adds a fraction of a token. The bucket
/// starts empty, so that attempts never exceed their share of the requests so
/// far.
#[derive(Debug)]
pub(crate) struct Budget {
    share: f64,
    tokens: f64,
}

impl Budget {
    pub(crate) fn new(share: Percent) -> Self {
        Self {
            share: share.fraction(),
            tokens: 0.0,
        }
    }

    /// Changes the share. Tokens are kept unless the new share is 0.
    pub(crate) fn reload(&mut self, share: Percent) {
        self.share = share.fraction();
        if self.share == 0.0 {
            self.tokens = 0.0;
        }
    }

    /// Adds the tokens of one request.
    pub(crate) fn deposit(&mut self) {
        self.tokens = (self.tokens + self.share).min(MAX_TOKENS);
    }

    pub(crate) fn is_available(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Spends one token; returns `false` when less than one is left.
    pub(crate) fn spend(&mut self) -> bool {
        let is_available = self.is_available();
        if is_available {
            self.tokens -= 1.0;
        }
        is_available
    }
}
