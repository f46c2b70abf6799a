//! Starts the ingress with the `run` command of the deploy file, and signals and ends it by its process id.

use std::fs::File;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

pub const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;
/// Linux: the signal that a process gets when its parent has ended.
const PR_SET_PDEATHSIG: i32 = 1;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

/// The processes that were started and not waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case and all its processes if it takes longer than `limit`.
pub fn end_all_after(limit: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        crate::record::say("could not run: the case took too long");
        for id in STARTED.lock().unwrap().iter() {
            // SAFETY: the processes have not been waited for, so the ids are their own.
            unsafe { kill(*id as i32, SIGKILL) };
        }
        std::process::exit(2);
    });
}

/// The `run` command of the deploy file.
pub fn run_command(root: &Path) -> Option<String> {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).ok()?;
    let line = text.lines().find(|line| line.starts_with("run ="))?;
    Some(line.split('"').nth(1)?.to_string())
}

/// A free loopback address for TCP.
pub fn free_tcp() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("bound")
}

/// A free loopback address for UDP.
pub fn free_udp() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    socket.local_addr().expect("bound")
}

/// How a process of the ingress is started.
pub struct Launch<'a> {
    pub root: &'a Path,
    /// The private folder of the ingress, its `$TMPDIR`.
    pub tmp: &'a Path,
    pub name: &'a str,
    pub config: &'a Path,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub log: PathBuf,
}

/// A process of the ingress, which is killed when this is dropped.
pub struct Daemon {
    child: Child,
}

impl Launch<'_> {
    pub fn start(&self) -> std::io::Result<Daemon> {
        let run = run_command(self.root).ok_or(std::io::ErrorKind::NotFound)?;
        let log = File::create(&self.log)?;
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg(run)
            .current_dir(self.root)
            .env("TMPDIR", self.tmp)
            .env("GW_CONFIG", self.config)
            .env("GW_NAME", self.name)
            .env("GW_LISTEN", self.listen.to_string())
            .env("GW_DISCOVERY", self.discovery.to_string())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // The ingress ends with this program, however that ends.
        // SAFETY: prctl may be called between fork and exec, and touches no memory.
        unsafe {
            command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL as u64) {
                0 => Ok(()),
                _ => Err(std::io::Error::last_os_error()),
            });
        }
        let child = command.spawn()?;
        STARTED.lock().unwrap().push(child.id());
        Ok(Daemon { child })
    }
}

impl Daemon {
    pub fn signal(&self, signal: i32) {
        // SAFETY: the child has not been waited for, so the id is its own.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// The exit status, if the process has ended.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok()??;
        let id = self.child.id();
        STARTED.lock().unwrap().retain(|other| *other != id);
        Some(status.to_string())
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let id = self.child.id();
        STARTED.lock().unwrap().retain(|other| *other != id);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until `GET /healthz` is answered with 200.
pub fn wait_ready(listen: SocketAddr, limit: Duration) -> bool {
    use std::io::Write;
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if let Ok(mut stream) = std::net::TcpStream::connect(listen) {
            let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
            let _ = stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n");
            let answer = crate::http::Reader::new(stream).message();
            if answer
                .ok()
                .flatten()
                .is_some_and(|answer| answer.status() == 200)
            {
                return true;
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
