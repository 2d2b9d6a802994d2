//! Answers that are sent before the end of a request.

use {
    egret_runtime::{HttpLimits, serve_http, text_response},
    http::StatusCode,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

/// Time in which the server has answered and closed its side.
const ANSWER_PAUSE: Duration = Duration::from_millis(300);

async fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    // refuses each request without reading its body
    let handler =
        |_, _| Box::pin(async { text_response(StatusCode::PAYLOAD_TOO_LARGE, "too large\n") }) as _;
    let limits = HttpLimits { connections: 100 };
    tokio::spawn(serve_http(address, limits, handler, || Box::pin(async {})));
    while TcpStream::connect(address).await.is_err() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    address
}

// sends `first`, then the rest once the server has answered, and returns the answer
async fn send_slowly(address: SocketAddr, first: &[u8], rest: &[u8]) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(first).await?;
    tokio::time::sleep(ANSWER_PAUSE).await;
    for chunk in rest.chunks(64 * 1024) {
        stream.write_all(chunk).await?;
    }
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    Ok(String::from_utf8(answer).unwrap())
}

// The server closed the connection with unread bytes, and the reset dropped its answer at the caller.
#[tokio::test]
async fn early_answer_reaches_caller_that_still_sends() {
    let address = start_server().await;
    let filler = vec![b'x'; 2_000_000];
    let head = [b"GET / HTTP/1.1\r\nHost: h\r\nX-Large: ", &filler[..1_000_000]].concat();
    let refused = send_slowly(address, &head, &filler).await.unwrap();
    assert!(refused.starts_with("HTTP/1.1 431 "), "{refused}");
    let head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000\r\n\r\nbody";
    let refused = send_slowly(address, head, &filler[4..]).await.unwrap();
    assert!(refused.starts_with("HTTP/1.1 413 "), "{refused}");
}
