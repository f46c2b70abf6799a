//! Bodies that a fake endpoint writes in pieces.

use std::io;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// A body that is written in pieces, without holding all of it in memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyPieces {
    /// How the end of the body is recognized.
    pub framing: BodyFraming,
    /// Pause between the head and the first piece.
    pub first_after: Duration,
    /// Size of each piece.
    pub piece_bytes: usize,
    /// Pause after each piece.
    pub interval: Duration,
    /// Number of pieces.
    pub pieces: usize,
}

/// How the end of a body is recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// By a Content-Length.
    Length,
    /// By the last chunk; each piece is a chunk.
    Chunked,
    /// By the end of the connection.
    Close,
}

impl BodyPieces {
    /// Size of the whole body.
    pub fn total_bytes(&self) -> usize {
        self.piece_bytes * self.pieces
    }

    /// The header that frames the body.
    pub(super) fn framing_header(&self) -> String {
        match self.framing {
            BodyFraming::Length => format!("Content-Length: {}", self.total_bytes()),
            BodyFraming::Chunked => "Transfer-Encoding: chunked".to_string(),
            BodyFraming::Close => "Connection: close".to_string(),
        }
    }

    /// Writes the body. Fails after a body that ends with the connection, so that the caller closes it.
    pub(super) async fn write(&self, stream: &mut TcpStream) -> io::Result<()> {
        let piece = vec![b'.'; self.piece_bytes];
        let piece = match self.framing {
            BodyFraming::Chunked => {
                let size = format!("{:x}\r\n", self.piece_bytes);
                [size.as_bytes(), &piece, b"\r\n"].concat()
            }
            BodyFraming::Length | BodyFraming::Close => piece,
        };
        tokio::time::sleep(self.first_after).await;
        for _ in 0..self.pieces {
            stream.write_all(&piece).await?;
            tokio::time::sleep(self.interval).await;
        }
        match self.framing {
            BodyFraming::Chunked => stream.write_all(b"0\r\n\r\n").await,
            BodyFraming::Length => Ok(()),
            BodyFraming::Close => {
                stream.shutdown().await?;
                Err(io::ErrorKind::ConnectionAborted.into())
            }
        }
    }
}
