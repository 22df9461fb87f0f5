//! Keys and certificates that are reloaded when their files change.

use {
    filbertbend_transport::tls::{Error, Files, Identity},
    filbertbend_yaml::Tls,
    spdlog::prelude::*,
    std::{fs, sync::Arc, time::Duration, time::SystemTime},
    tokio::sync::watch,
};

/// How often the modification times of the files are checked.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Loads the files, and starts a task that reloads them whenever one of them
/// changes. If the new files are invalid, an error is logged and the keys in
/// use are kept.
///
/// # Errors
///
/// Returns an error if the first load fails.
pub fn load_and_watch(tls: &Tls) -> Result<watch::Receiver<Arc<Identity>>, Error> {
    let files = Files {
        certificate: tls.certificate.clone(),
        key: tls.key.clone(),
        authority: tls.authority.clone(),
    };
    let mut loaded = modification_times(&files);
    let (keys, receiver) = watch::channel(Arc::new(Identity::load(&files)?));
    tokio::spawn(async move {
        while !keys.is_closed() {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let now = modification_times(&files);
            if now == loaded {
                continue;
            }
            loaded = now;
            match Identity::load(&files) {
                Ok(identity) => {
                    info!("keys reloaded", kv: { certificate: = files.certificate.display() });
                    keys.send_replace(Arc::new(identity));
                }
                Err(error) => error!("failed to reload keys", kv: { error: }),
            }
        }
    });
    Ok(receiver)
}

fn modification_times(files: &Files) -> [Option<SystemTime>; 3] {
    [&files.certificate, &files.key, &files.authority]
        .map(|path| fs::metadata(path).and_then(|data| data.modified()).ok())
}
