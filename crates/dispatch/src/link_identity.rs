//! The TLS identity that all processes of one deployment share.
//!
//! The platform doesn't provision certificates. The first process to start
//! generates an authority, a certificate and a private key and writes them to
//! the store, where every other process reads them. Read access to the store
//! is therefore what makes a process a member of the deployment.

use {
    crate::{
        key::LINK_IDENTITY,
        platform::{Commit, Revision, Store, Transaction},
    },
    filbertbend_transport::tls::{Identity, SERVER_NAME},
    rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair},
    serde::{Deserialize, Serialize},
    spdlog::prelude::*,
    std::time::Duration,
    tokio::time::sleep,
};

/// Delay before the store is read again after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The stored identity, in PEM.
#[derive(Serialize, Deserialize)]
struct Bundle {
    certificate: String,
    key: String,
    authority: String,
}

/// Reads the shared identity, or creates it if there is none. Retries until the
/// store is available.
pub async fn load_or_create(store: &impl Store) -> Identity {
    loop {
        match try_load(store).await {
            Ok(identity) => return identity,
            Err(error) => warn!("no link identity yet", kv: { error: = error.as_str() }),
        }
        sleep(RETRY_DELAY).await;
    }
}

async fn try_load(store: &impl Store) -> Result<Identity, String> {
    let found = store
        .get(LINK_IDENTITY)
        .await
        .map_err(|error| error.to_string())?;
    let Some(item) = found else {
        create(store).await?;
        return Err("just created, not read back yet".to_owned());
    };
    let bundle: Bundle = postcard::from_bytes(&item.value).map_err(|error| error.to_string())?;
    Identity::from_pem(&bundle.certificate, &bundle.key, &bundle.authority)
        .map_err(|error| error.to_string())
}

/// Writes a new identity unless another process has already written one.
async fn create(store: &impl Store) -> Result<(), String> {
    let bundle = generate().map_err(|error| error.to_string())?;
    let value = postcard::to_stdvec(&bundle).map_err(|error| error.to_string())?;
    let transaction = Transaction {
        expect: vec![(LINK_IDENTITY.into(), Revision(0))],
        set: vec![(LINK_IDENTITY.into(), value, None)],
        remove: Vec::new(),
    };
    match store.commit(&transaction).await {
        Ok(Commit::Done(_)) => info!("link identity created"),
        Ok(_) => {}
        Err(error) => return Err(error.to_string()),
    }
    Ok(())
}

fn generate() -> Result<Bundle, rcgen::Error> {
    let authority_key = KeyPair::generate()?;
    let mut params = CertificateParams::new(Vec::new())?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let authority = params.self_signed(&authority_key)?.pem();
    let issuer = Issuer::new(params, authority_key);
    let key = KeyPair::generate()?;
    let certificate = CertificateParams::new(vec![SERVER_NAME.to_owned()])?
        .signed_by(&key, &issuer)?
        .pem();
    Ok(Bundle {
        certificate,
        key: key.serialize_pem(),
        authority,
    })
}
