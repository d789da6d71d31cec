//! Messages about limits that apply to the sum over all entries.

use std::net::IpAddr;

use carobdrift_quota::{Grants, Request};

use crate::datagram::Datagram;
use crate::peers::Peers;

impl Peers {
    /// Sends a request for tokens to the grantor of their keys.
    pub async fn request_tokens(&self, grantor: IpAddr, request: Request) {
        self.send(&Datagram::QuotaRequest(request), &[grantor])
            .await;
    }

    /// Sends tokens to the entry that requested them.
    pub async fn grant_tokens(&self, entry: IpAddr, grants: Grants) {
        self.send(&Datagram::QuotaGrants(grants), &[entry]).await;
    }
}
