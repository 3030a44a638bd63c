//! Members of another shape in the list of VMs, beside sound ones.

use std::{net::SocketAddr, time::Duration};

use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};
use winch_platform::{
    http::{Options, Platform},
    membership::Membership,
};

/// A client of a server that sends `body` in reply to each request.
async fn serve(body: Value) -> Platform {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address: SocketAddr = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        let body = body.to_string();
        let length = body.len();
        let reply = format!(
            "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        while let Ok((mut stream, _)) = listener.accept().await {
            // A request is short enough for one read.
            let length = stream.read(&mut [0; 4_096]).await.expect("a request");
            assert!(length > 0);
            stream.write_all(reply.as_bytes()).await.expect("sent");
        }
    });
    Platform::new(Options { base: format!("http://{address}"), timeout: Duration::from_secs(5) })
}

fn member(name: &str) -> Value {
    json!({"name": name, "address": "127.0.0.1:9", "dc": "a", "kind": "daemon", "leaving": false})
}

// Guards against one odd member that hides all others.
#[tokio::test]
async fn others_listed() {
    let mut later = member("m-1");
    later["kind"] = "of a later release".into();
    let mut nameless = member("m-2");
    nameless["name"] = 7.into();
    let list = json!([member("a-1"), later, nameless, {}, null, "m", member("z-1")]);
    let members = serve(list).await.list().await.expect("a list");
    let names: Vec<_> = members.iter().map(|member| &*member.name).collect();
    assert_eq!(names, ["a-1", "z-1"]);
}
