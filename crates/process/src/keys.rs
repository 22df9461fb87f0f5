//! Keys and certificates that are read again when their files change.

use {
    filbertbend_transport::tls::{Error, Files, Identity},
    filbertbend_yaml::Tls,
    spdlog::prelude::*,
    std::{fs, sync::Arc, time::Duration, time::SystemTime},
    tokio::sync::watch,
};

/// How often the files are looked at.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Reads the files, and again whenever one of them changes. Faulty new files
/// are reported and the keys in use stay.
///
/// # Errors
///
/// Returns an error if the files cannot be used at the start.
pub fn load_and_watch(tls: &Tls) -> Result<watch::Receiver<Arc<Identity>>, Error> {
    let files = Files {
        certificate: tls.certificate.clone(),
        key: tls.key.clone(),
        authority: tls.authority.clone(),
    };
    let mut seen = modified(&files);
    let (keys, receiver) = watch::channel(Arc::new(Identity::load(&files)?));
    tokio::spawn(async move {
        while !keys.is_closed() {
            tokio::time::sleep(RELOAD_INTERVAL).await;
            let now = modified(&files);
            if now == seen {
                continue;
            }
            seen = now;
            match Identity::load(&files) {
                Ok(identity) => {
                    info!("keys reloaded", kv: { certificate: = files.certificate.display() });
                    keys.send_replace(Arc::new(identity));
                }
                Err(error) => error!("new keys not used", kv: { error: }),
            }
        }
    });
    Ok(receiver)
}

fn modified(files: &Files) -> [Option<SystemTime>; 3] {
    [&files.certificate, &files.key, &files.authority]
        .map(|path| fs::metadata(path).and_then(|data| data.modified()).ok())
}
