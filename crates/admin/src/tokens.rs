//! Bearer tokens and the identities that they stand for.

use std::fmt;

use carobdrift_units::Team;
use subtle::{Choice, ConstantTimeEq};
use thiserror::Error;

/// Shortest permitted token, in bytes. Shorter tokens can be guessed.
const MIN_TOKEN_BYTES: usize = 16;

/// Identity that a token stands for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Identity {
    /// The operator of the platform.
    Operator,
    /// A team that owns services.
    Team(Team),
}

/// Fault of a token setting. The error never contains the token.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TokenError {
    /// The setting is not a pair of team and token.
    #[error("team token {position} is not of the form team=token")]
    Format {
        /// Position in the list of settings, counted from 1.
        position: usize,
    },
    /// The team name is malformed.
    #[error("team of team token {position}: {fault}")]
    Team {
        /// Position in the list of settings, counted from 1.
        position: usize,
        /// Fault of the team name.
        fault: carobdrift_units::NameError,
    },
    /// The token is too short or contains characters other than visible ASCII.
    #[error("the token of {owner} must have at least {MIN_TOKEN_BYTES} visible ASCII characters")]
    Token {
        /// Owner of the token.
        owner: String,
    },
    /// Two owners have the same token.
    #[error("the token of {owner} is also that of another team or of the operator")]
    Duplicate {
        /// Owner of the token.
        owner: String,
    },
}

/// Set of accepted bearer tokens. A team may have several tokens, so that a
/// token can be replaced without interruption.
#[derive(Clone, Default)]
pub struct Tokens(Vec<(Identity, String)>);

impl fmt::Debug for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let owners = self.0.iter().map(|(identity, _)| identity);
        f.debug_list().entries(owners).finish()
    }
}

impl Tokens {
    /// Parses the operator's token and team settings of the form `team=token`.
    ///
    /// # Errors
    ///
    /// Fails when a setting or a token is malformed, and when two owners have
    /// the same token.
    pub fn parse<T: AsRef<str>>(operator: Option<&str>, teams: &[T]) -> Result<Self, TokenError> {
        let mut tokens = Self::default();
        if let Some(token) = operator {
            tokens.add(Identity::Operator, "the operator", token)?;
        }
        for (index, setting) in teams.iter().enumerate() {
            let position = index + 1;
            let (team, token) = setting
                .as_ref()
                .split_once('=')
                .ok_or(TokenError::Format { position })?;
            let team: Team = team
                .parse()
                .map_err(|fault| TokenError::Team { position, fault })?;
            let owner = format!("team {team}");
            tokens.add(Identity::Team(team), &owner, token)?;
        }
        Ok(tokens)
    }

    fn add(&mut self, identity: Identity, owner: &str, token: &str) -> Result<(), TokenError> {
        let owner = owner.to_owned();
        if token.len() < MIN_TOKEN_BYTES || !token.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(TokenError::Token { owner });
        }
        if self
            .0
            .iter()
            .any(|(known, text)| *known != identity && text == token)
        {
            return Err(TokenError::Duplicate { owner });
        }
        self.0.push((identity, token.to_owned()));
        Ok(())
    }

    /// Returns the identity that a token stands for. Compares the token with
    /// every accepted token in constant time, so that the response time does
    /// not reveal how close a guess is.
    pub(crate) fn identify(&self, presented: &str) -> Option<&Identity> {
        let mut identified = None;
        for (identity, token) in &self.0 {
            let equal: Choice = token.as_bytes().ct_eq(presented.as_bytes());
            if bool::from(equal) {
                identified = Some(identity);
            }
        }
        identified
    }
}
