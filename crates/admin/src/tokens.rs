//! Bearer tokens and who they stand for.

use std::fmt;

use carobdrift_units::Team;
use subtle::{Choice, ConstantTimeEq};
use thiserror::Error;

/// Shortest token, in bytes. Shorter ones can be guessed.
const TOKEN_MINIMUM: usize = 16;

/// Whom a token stands for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Identity {
    /// The operator of the platform.
    Operator,
    /// A team that owns services.
    Team(Team),
}

/// Why a token setting is refused. The token itself is never part of it.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TokenError {
    /// The setting is not a pair.
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
        /// What is wrong with the name.
        fault: carobdrift_units::NameError,
    },
    /// The token is too short or holds other than visible ASCII characters.
    #[error("the token of {owner} must have at least {TOKEN_MINIMUM} visible ASCII characters")]
    Token {
        /// Whom it stands for.
        owner: String,
    },
    /// Two settings have the same token.
    #[error("the token of {owner} is also that of another team or of the operator")]
    Duplicate {
        /// Whom it stands for.
        owner: String,
    },
}

/// Known bearer tokens. A team may have several, so that one can be replaced.
#[derive(Clone, Default)]
pub struct Tokens(Vec<(Identity, String)>);

impl fmt::Debug for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let owners = self.0.iter().map(|(identity, _)| identity);
        f.debug_list().entries(owners).finish()
    }
}

impl Tokens {
    /// Reads the operator's token and the settings of form `team=token`.
    ///
    /// # Errors
    ///
    /// Fails on a malformed setting, a token that is too short and one that
    /// two owners share.
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
        if token.len() < TOKEN_MINIMUM || !token.bytes().all(|b| b.is_ascii_graphic()) {
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

    /// Whom a token stands for. Compares with every known token, so that the
    /// time taken does not tell which of them is close.
    pub(crate) fn identify(&self, presented: &str) -> Option<&Identity> {
        let mut found = None;
        for (identity, token) in &self.0 {
            let equal: Choice = token.as_bytes().ct_eq(presented.as_bytes());
            if bool::from(equal) {
                found = Some(identity);
            }
        }
        found
    }
}
