//! Creates the client of the store that a command uses.

use {
    super::{failure::Failure, Location},
    crate::settings::Settings,
    filbertbend_transport::store::Http,
    std::net::SocketAddr,
};

/// Creates a client of the store. The client has no address if the command does
/// not use the store.
pub(super) fn resolve(location: Option<&Location>) -> Result<Http, Failure> {
    let addresses: Vec<SocketAddr> = match location {
        None => Vec::new(),
        Some(Location::Address(address)) => vec![*address],
        Some(Location::Settings(path)) => {
            let settings = Settings::load(path).map_err(Failure::Settings)?;
            settings.store.addresses
        }
    };
    Ok(Http::new(addresses))
}
