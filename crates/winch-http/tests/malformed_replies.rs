//! Bytes that are no reply are refused as a whole, whatever part of them could be read.

use assert_matches::assert_matches;
use bytes::BytesMut;
use http::Method;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};
use winch_http::{
    Fault,
    client::{Connection, Error, InOrder},
    head,
};

const MAX_HEAD_BYTES: usize = 10_000;

/// Sends a request to a server that replies with `text`, and reads the body of the reply.
async fn exchange(text: String) -> Result<String, Error> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.read_exact(&mut [0; 10]).await.unwrap();
        stream.write_all(text.as_bytes()).await.unwrap();
        // An error means that the client has closed the connection.
        let _ = stream.read_to_end(&mut Vec::new()).await;
    };
    let client = async {
        let mut connection = Connection::connect(address).await?;
        connection.exchange(&Method::GET, b"GET / HTTP/1.1\r\n\r\n", &InOrder).await?;
        let body = connection.body(1_000).await?;
        Ok(String::from_utf8(body.to_vec()).unwrap())
    };
    tokio::join!(server, client).1
}

// Guards against a status that is none, which a caller got as an answer.
#[test]
fn malformed_statuses_refused() {
    for status in ["000", "099", "20", "2000", "600", "999", "2x0", "-20", ""] {
        let text = format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n");
        let taken = head::take_reply(&mut BytesMut::from(&*text), MAX_HEAD_BYTES);
        assert_eq!(taken, Err(Fault::Malformed), "{status:?}");
    }
}

// Guards against a head with a line that is no field, which was passed on or changed the framing.
#[test]
fn malformed_heads_refused() {
    let lines = [
        "X Y: 1",
        "X\tY: 1",
        "X\u{1}Y: 1",
        "X\u{7f}: 1",
        ": 1",
        "Content-Length : 1",
        " folded",
        "no colon",
        "X: a\u{1}b",
        "X: a\u{7f}b",
    ];
    for line in lines {
        let text = format!("HTTP/1.1 200 X\r\n{line}\r\nContent-Length: 2\r\n\r\nok");
        let taken = head::take_reply(&mut BytesMut::from(&*text), MAX_HEAD_BYTES);
        assert_eq!(taken, Err(Fault::Malformed), "{line:?}");
    }
}

// Guards against a body that counts as whole although what frames it is no chunk or no trailer.
#[tokio::test]
async fn malformed_chunks_refused() {
    let chunked = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n";
    let whole = ["2;a=b\r\nok\r\n0\r\n\r\n", "2\r\nok\r\n0\r\nX-T: a\tb\r\n\r\n"];
    for body in whole {
        assert_eq!(exchange(format!("{chunked}{body}")).await.unwrap(), "ok", "{body:?}");
    }
    let malformed = [
        "2;a\u{1}b\r\nok\r\n0\r\n\r\n",
        "2\r\nok\r\n0;\u{1}\r\n\r\n",
        "2\r\nok\r\n0\r\nX Y: 1\r\n\r\n",
        "2\r\nok\r\n0\r\nX: \u{1}\r\n\r\n",
        "2\r\nok\r\n0\r\nno colon\r\n\r\n",
    ];
    for body in malformed {
        let result = exchange(format!("{chunked}{body}")).await;
        assert_matches!(result, Err(Error::Unacceptable { source: Fault::Malformed }), "{body:?}");
    }
}

// Guards against bytes of another protocol that pass for the answer.
#[tokio::test]
async fn unasked_switch_refused() {
    let reply = "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok";
    let interim = |status: &str| format!("HTTP/1.1 {status} X\r\n\r\n{reply}");
    assert_eq!(exchange(interim("103")).await.unwrap(), "ok", "an interim reply is skipped");
    let switched = exchange(interim("101")).await;
    assert_matches!(switched, Err(Error::Unacceptable { source: Fault::Malformed }));
}
