//! Replies that arrive before the request is written, and end with their connection.

use std::{
    future::poll_fn,
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    pin::pin,
    sync::mpsc,
    task::Poll,
    thread,
    time::Duration,
};

use assert_matches::assert_matches;
use http::Method;
use winch_http::client::{Connection, Error, InOrder};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);
/// More than the buffers of both sockets hold.
const UPLOAD_BYTES: usize = 16 * 1024 * 1024;
/// A write or a read may meet the reset first, by chance.
const ROUNDS: usize = 40;
const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

/// How a server ends a reply without length.
#[derive(Clone, Copy)]
enum End {
    /// It closes the connection with unread input, which resets it.
    Reset,
    /// It ends its side and goes on reading.
    InOrder,
}

/// Serves connections on which a part of the request is read before the reply. Each reply is announced
/// once its end has reached the client.
fn serve(end: End) -> (SocketAddr, mpsc::Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (sender, replied) = mpsc::channel();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            // Another process of the machine may try a port that was in use before, and send nothing.
            if reply(&mut stream).is_err() {
                continue;
            }
            match end {
                End::Reset => drop(stream),
                End::InOrder => {
                    stream.shutdown(Shutdown::Write).expect("an open connection");
                    thread::spawn(move || std::io::copy(&mut stream, &mut std::io::sink()));
                }
            }
            if sender.send(()).is_err() {
                return;
            }
        }
    });
    (address, replied)
}

fn reply(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.read_exact(&mut [0; 100])?;
    stream.write_all(HEAD)?;
    stream.write_all(b"a part")
}

/// Sends a long request, and reads the reply only after its end has arrived.
async fn exchange(address: SocketAddr, replied: &mpsc::Receiver<()>) -> Result<String, Error> {
    let head = format!("POST / HTTP/1.1\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n");
    let request = [head.as_bytes(), &vec![b'x'; UPLOAD_BYTES]].concat();
    let mut connection = Connection::open(address, CONNECT_TIMEOUT).await?;
    {
        let mut exchanged = pin!(connection.exchange(&Method::POST, &request, &InOrder));
        // Fills the buffers; the reply is not read before it has ended.
        poll_fn(|context| {
            assert!(exchanged.as_mut().poll(context).is_pending(), "there is no reply yet");
            Poll::Ready(())
        })
        .await;
        replied.recv().expect("the server runs");
        exchanged.await?;
    }
    let body = connection.body(1_000).await?;
    Ok(String::from_utf8(body.to_vec()).expect("text"))
}

// Guards against a part of a reply that counts as the whole, because a write has taken the error of
// the reset and the read after it finds an orderly end.
#[tokio::test]
async fn reset_ends_no_body() {
    let (address, replied) = serve(End::Reset);
    for round in 0..ROUNDS {
        let body = exchange(address, &replied).await;
        assert_matches!(body, Err(Error::Broken { .. }), "round {round}");
    }
}

// Guards against a reply that is whole and refused, because the rest of its request was not written.
#[tokio::test]
async fn orderly_end_completes() {
    let (address, replied) = serve(End::InOrder);
    for _ in 0..ROUNDS {
        assert_eq!(exchange(address, &replied).await.expect("a whole reply"), "a part");
    }
}
