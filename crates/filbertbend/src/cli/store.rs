//! The store that a command uses.

use {
    super::{failure::Failure, Place},
    crate::settings::Settings,
    filbertbend_transport::store::Http,
    std::net::SocketAddr,
};

/// Makes a client of the store; one without an address if the command uses no
/// store.
pub(super) fn resolve(place: Option<&Place>) -> Result<Http, Failure> {
    let addresses: Vec<SocketAddr> = match place {
        None => Vec::new(),
        Some(Place::Address(address)) => vec![*address],
        Some(Place::Settings(path)) => {
            let settings = Settings::load(path).map_err(Failure::Settings)?;
            settings.store.addresses
        }
    };
    Ok(Http::new(addresses))
}
