//! What a process inherits from the platform: the clients' listening socket, and the folder that it shares with the
//! process before it and after it.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::env;
use std::io::Write as _;
use std::net::SocketAddr;
use std::os::fd::{BorrowedFd, FromRawFd, OwnedFd, RawFd};
use std::path::PathBuf;

use applewall_admin::{state_file, MaintenanceSet};
use socket2::SockRef;
use tokio::net::TcpListener;

/// Names the descriptor of the listening socket.
const VARIABLE: &str = "GW_FD";

/// The descriptor that GW_FD names, where it does.
pub(crate) fn named() -> Result<Option<OwnedFd>, String> {
    let Some(text) = env::var_os(VARIABLE) else {
        return Ok(None);
    };
    let text = text.to_string_lossy();
    let number: Option<RawFd> = text.parse().ok().filter(|n| *n > 2);
    let number = number
        .ok_or_else(|| format!("{VARIABLE}: '{text}' is no number of an inherited descriptor"))?;
    // SAFETY: only looked at, by calls that fail for a number that is no open descriptor.
    let looked = unsafe { BorrowedFd::borrow_raw(number) };
    match SockRef::from(&looked).is_listener() {
        // SAFETY: it is open, as was just seen, and nothing else in this program has it: it came with the start.
        Ok(true) => Ok(Some(unsafe { OwnedFd::from_raw_fd(number) })),
        Ok(false) => Err(format!("{VARIABLE}: descriptor {number} does not listen")),
        Err(e) => Err(format!(
            "{VARIABLE}: descriptor {number} is no listening socket: {e}"
        )),
    }
}

/// The listener on an inherited descriptor; its address is put right.
pub(crate) fn listener(socket: OwnedFd, address: &mut SocketAddr) -> Result<TcpListener, String> {
    let listener = std::net::TcpListener::from(socket);
    let made = listener.set_nonblocking(true).and_then(|()| {
        *address = listener.local_addr()?;
        TcpListener::from_std(listener)
    });
    made.map_err(|e| format!("{VARIABLE}: {e}"))
}

/// The files that processes of one ingress share.
#[derive(Clone)]
pub(crate) struct Place {
    folder: PathBuf,
    name: String,
}

impl Place {
    /// In `$TMPDIR`, named after the ingress.
    pub(crate) fn new(name: &str) -> Self {
        // The name is the platform's; as part of a file's name it may say nothing of folders.
        let name = name
            .chars()
            .map(|c| if c.is_ascii_alphanumeric() { c } else { '_' })
            .collect();
        Place {
            folder: env::temp_dir(),
            name,
        }
    }

    /// Where the process that serves listens for its successor.
    pub(crate) fn socket(&self) -> PathBuf {
        self.folder.join(format!("applewall-{}.sock", self.name))
    }

    /// A name beside it that is this process's own.
    pub(crate) fn own_socket(&self) -> PathBuf {
        self.folder.join(format!(
            "applewall-{}.{}.sock",
            self.name,
            std::process::id()
        ))
    }

    fn state(&self) -> PathBuf {
        self.folder.join(format!("applewall-{}.state", self.name))
    }

    /// The ledger as an earlier process left it; empty where there is none. What is no ledger is told, and passed over.
    pub(crate) fn read(&self) -> MaintenanceSet {
        let path = self.state();
        let read = match std::fs::read_to_string(&path) {
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => return MaintenanceSet::default(),
            Err(e) => Err(e.to_string()),
            Ok(text) => state_file::decode(&text).map_err(|e| e.to_string()),
        };
        read.unwrap_or_else(|why| {
            tracing::warn!(
                "state: {}: {why}; passed over, nothing is withheld",
                path.display()
            );
            MaintenanceSet::default()
        })
    }

    /// Writes the ledger: whole beside the old one, then in its place.
    pub(crate) fn write(&self, ledger: &MaintenanceSet) -> Result<(), String> {
        let (path, new) = (
            self.state(),
            self.folder
                .join(format!("applewall-{}.{}", self.name, std::process::id())),
        );
        let written = std::fs::File::create(&new)
            .and_then(|mut file| file.write_all(state_file::encode(ledger).as_bytes()))
            .and_then(|()| std::fs::rename(&new, &path));
        written.map_err(|e| {
            // Half a file must not stay: where there is no room, it takes some.
            let _ = std::fs::remove_file(&new);
            format!("{}: {e}", path.display())
        })
    }
}
