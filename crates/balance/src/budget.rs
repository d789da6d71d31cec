//! Budgets for attempts beyond the first.

use carobdrift_units::Percent;

/// Most tokens that are saved up; bounds a burst after a quiet time.
const TOKEN_CAP: f64 = 10.0;

/// A token bucket that each request fills by a share of a token. It starts
/// empty, so the attempts never exceed their share of the requests so far.
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

    /// Changes the share and keeps the tokens, unless attempts are turned off.
    pub(crate) fn reload(&mut self, share: Percent) {
        self.share = share.fraction();
        if self.share == 0.0 {
            self.tokens = 0.0;
        }
    }

    /// Counts a request.
    pub(crate) fn deposit(&mut self) {
        self.tokens = (self.tokens + self.share).min(TOKEN_CAP);
    }

    pub(crate) fn is_available(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Pays for one attempt, when it can be afforded.
    pub(crate) fn spend(&mut self) -> bool {
        let available = self.is_available();
        if available {
            self.tokens -= 1.0;
        }
        available
    }
}
