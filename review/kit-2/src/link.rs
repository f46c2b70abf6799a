//! A link to a limit server with the one-way delay between two halls.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// Starts a proxy of `server` that delivers each byte `delay` after it was sent; returns its address.
pub fn start(server: SocketAddr, delay: Duration) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(server) else {
                continue;
            };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else {
                continue;
            };
            carry(near, far, delay);
            carry(far_copy, near_copy, delay);
        }
    });
    Ok(address)
}

/// Carries bytes in one direction until its end.
fn carry(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>();
    std::thread::spawn(move || {
        let mut chunk = [0; 16 * 1024];
        loop {
            let read = from.read(&mut chunk).unwrap_or(0);
            let sent = sender.send((Instant::now() + delay, chunk[..read].to_vec()));
            if read == 0 || sent.is_err() {
                return;
            }
        }
    });
    std::thread::spawn(move || {
        for (due, bytes) in receiver {
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            if bytes.is_empty() || to.write_all(&bytes).is_err() {
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        }
    });
}
