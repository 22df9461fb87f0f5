//! The store that a command uses.

use {
    super::{failure::Failure, Place},
    crate::settings::Settings,
    filbertbend_coordination::store::{Answer, Call},
    filbertbend_transport::store::{Client, Http},
    std::net::SocketAddr,
};

/// Clients of all addresses of the store, tried in order.
pub(super) struct Failover(Vec<Http>);

impl Failover {
    /// Finds the store's addresses; none if the command uses no store.
    pub(super) fn resolve(place: Option<&Place>) -> Result<Self, Failure> {
        let addresses: Vec<SocketAddr> = match place {
            None => Vec::new(),
            Some(Place::Address(address)) => vec![*address],
            Some(Place::Settings(path)) => {
                let settings = Settings::load(path).map_err(Failure::Settings)?;
                settings.store.addresses
            }
        };
        Ok(Self(addresses.into_iter().map(Http::new).collect()))
    }
}

impl Client for Failover {
    async fn call(&self, call: Call) -> Answer {
        // Only a call that was certainly not taken may be made elsewhere.
        for client in &self.0 {
            match client.call(call.clone()).await {
                Answer::Unavailable => {}
                answer => return answer,
            }
        }
        Answer::Unavailable
    }
}
