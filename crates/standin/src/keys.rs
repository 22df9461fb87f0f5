//! A private certificate authority for tests and local runs.

use {
    rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair},
    std::{
        fs, io,
        path::{Path, PathBuf},
    },
};

/// The server name in every certificate, which the processes verify.
const SERVER_NAME: &str = "filbertbend";

/// A private certificate authority that writes key files into one folder.
pub struct Authority {
    folder: PathBuf,
    issuer: Issuer<'static, KeyPair>,
}

impl Authority {
    /// Creates a new authority and writes its certificate to `authority.pem`.
    ///
    /// # Errors
    ///
    /// Returns an error if a key cannot be made or a file written.
    pub fn create(folder: impl AsRef<Path>) -> io::Result<Self> {
        let key = KeyPair::generate().map_err(io::Error::other)?;
        let mut params = CertificateParams::new(Vec::new()).map_err(io::Error::other)?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let certificate = params.self_signed(&key).map_err(io::Error::other)?;
        let folder = folder.as_ref().to_owned();
        fs::create_dir_all(&folder)?;
        fs::write(folder.join("authority.pem"), certificate.pem())?;
        Ok(Self {
            folder,
            issuer: Issuer::new(params, key),
        })
    }

    /// Writes `certificate.pem` and `key.pem`, which all processes of a local run
    /// share.
    ///
    /// # Errors
    ///
    /// Returns an error if a key cannot be made or a file written.
    pub fn issue(&self) -> io::Result<()> {
        let key = KeyPair::generate().map_err(io::Error::other)?;
        let params =
            CertificateParams::new(vec![SERVER_NAME.to_owned()]).map_err(io::Error::other)?;
        let certificate = params
            .signed_by(&key, &self.issuer)
            .map_err(io::Error::other)?;
        fs::write(self.folder.join("certificate.pem"), certificate.pem())?;
        fs::write(self.folder.join("key.pem"), key.serialize_pem())
    }
}
