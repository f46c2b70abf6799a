//! Streams through links: a listener for each pair of an ingress and what it calls, and the bytes in between.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::Instant;

use crate::net::{Link, AGAIN};

/// Bytes passed on at one go.
const PIECE: usize = 16 * 1024;

/// A listener on a free port of this address of loopback.
///
/// # Errors
///
/// What the system says.
pub async fn listen(at: IpAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(at, 0))?;
    socket.listen(1024)
}

/// Joins a stream of an ingress to a server inside the rig: the server's end of it. `there` is the way to the server.
pub fn to_server(stream: TcpStream, there: Link, back: Link, seed: u64) -> DuplexStream {
    let (ours, servers) = tokio::io::duplex(PIECE);
    tokio::spawn(join(stream, ours, there, back, seed));
    servers
}

/// Joins two streams until one way ends, or a reset.
async fn join(
    stream: TcpStream,
    server: impl AsyncRead + AsyncWrite + Send + 'static,
    there: Link,
    back: Link,
    seed: u64,
) {
    let _ = stream.set_nodelay(true);
    let (mut cut_there, mut cut_back) = (there.clone(), back.clone());
    let mut reset = false;
    {
        let (from, to) = stream.into_split();
        let (server_from, server_to) = tokio::io::split(server);
        let mut from = from;
        let mut to = to;
        let up = pump(&mut from, server_to, there, seed);
        let down = pump(server_from, &mut to, back, seed ^ 1);
        let cut = async {
            tokio::select! {
                () = cut_there.until(|c| c.reset) => {}
                () = cut_back.until(|c| c.reset) => {}
            }
        };
        tokio::select! {
            _ = up => {}
            _ = down => {}
            () = cut => reset = true,
        }
        if let (true, Ok(stream)) = (reset, from.reunite(to)) {
            abort(stream);
        }
    }
}

/// Ends a connection with a reset.
pub fn abort(stream: TcpStream) {
    // A linger of nothing: what is unsent is dropped, and the other side hears of a reset.
    if let Ok(stream) = stream.into_std() {
        let linger = libc::linger {
            l_onoff: 1,
            l_linger: 0,
        };
        let size = std::mem::size_of::<libc::linger>() as libc::socklen_t;
        let fd = std::os::fd::AsRawFd::as_raw_fd(&stream);
        // SAFETY: the descriptor is open for as long as `stream` lives, and the option is of the size told.
        unsafe {
            let option = std::ptr::from_ref(&linger).cast();
            libc::setsockopt(fd, libc::SOL_SOCKET, libc::SO_LINGER, option, size);
        }
    }
}

/// Passes bytes on as the link lets them: late, slowly, or not until it speaks again. Their order stays.
async fn pump(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut link: Link,
    seed: u64,
) -> io::Result<()> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut piece = vec![0; PIECE];
    loop {
        let read = from.read(&mut piece).await?;
        let came = Instant::now();
        // What comes while it is silent waits here: nothing of a stream is lost by a network that comes back.
        link.until(|c| !c.silent).await;
        let condition = link.now();
        let mut late = condition.delay + condition.spread.mul_f64(rng.random());
        while rng.random_bool(condition.loss.min(0.9)) {
            late += AGAIN;
        }
        if let Some(rate) = condition.rate {
            late += Duration::from_secs_f64(read as f64 / rate.max(1) as f64);
        }
        if !late.is_zero() {
            tokio::time::sleep_until(came + late).await;
        }
        if read == 0 {
            return to.shutdown().await;
        }
        to.write_all(&piece[..read]).await?;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::net::{Condition, Net, Rule};
    use crate::parts::Part;

    fn rule(condition: Condition) -> Rule {
        let (from, to) = ([Part::Ingress(0)].into(), [Part::List].into());
        Rule {
            name: "f".into(),
            from,
            to,
            both: true,
            condition,
        }
    }

    async fn pair(net: &Net) -> (TcpStream, DuplexStream) {
        let listener = listen([127, 0, 0, 1].into()).await.expect("a listener");
        let client = TcpStream::connect(listener.local_addr().expect("an address"))
            .await
            .expect("connects");
        let (stream, _) = listener.accept().await.expect("accepts");
        let (there, back) = (
            net.link(Part::Ingress(0), Part::List),
            net.link(Part::List, Part::Ingress(0)),
        );
        (client, to_server(stream, there, back, 3))
    }

    #[tokio::test]
    async fn a_silent_link_holds_what_crosses_and_a_reset_ends_it() {
        let net = Net::default();
        let (mut client, mut server) = pair(&net).await;
        let mut byte = [0; 1];
        client.write_all(b"a").await.expect("written");
        server.read_exact(&mut byte).await.expect("passes");
        net.set(rule(Condition {
            silent: true,
            ..Condition::default()
        }));
        client.write_all(b"b").await.expect("written");
        tokio::select! {
            biased;
            _ = server.read_exact(&mut byte) => panic!("passed over a silent link"),
            () = tokio::task::yield_now() => {}
        }
        net.clear("f");
        server.read_exact(&mut byte).await.expect("passes later");
        assert_eq!(&byte, b"b");
        net.set(rule(Condition {
            reset: true,
            ..Condition::default()
        }));
        let end = client.read(&mut byte).await;
        assert!(end.is_err_and(|e| e.kind() == io::ErrorKind::ConnectionReset));
    }
}
