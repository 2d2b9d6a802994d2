//! Clients of targets in trouble: statuses of no answer, bytes without an end.

use {
    egret_runtime::{CallError, Conn, HttpClient, HttpError, now},
    futures::future::join_all,
    http::Request,
    http_body_util::Full,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
    },
};

/// Time until the deadline of a call, in milliseconds.
const DEADLINE_MS: u64 = 1000;

/// Longest time of a call with that deadline.
const END_MAX: Duration = Duration::from_millis(2500);

/// Starts a server that answers each request with `head`, and then with `bytes` again and again unless
/// there are none.
async fn start_server(head: String, bytes: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    // on a thread of its own, as a process of its own would be
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().unwrap();
        runtime.block_on(async move {
            let listener = TcpListener::from_std(listener.into_std().unwrap()).unwrap();
            while let Ok((mut stream, _)) = listener.accept().await {
                let head = head.clone();
                tokio::spawn(async move {
                    let mut request = [0; 4096];
                    let _ = stream.read(&mut request).await;
                    let _ = stream.write_all(head.as_bytes()).await;
                    while !bytes.is_empty() && stream.write_all(bytes).await.is_ok() {}
                });
            }
        });
    });
    address
}

async fn call_conn(address: SocketAddr) -> Result<u16, HttpError> {
    let deadline = now().after_ms(DEADLINE_MS);
    let mut conn = Conn::open(address, deadline).await?;
    let reply = conn.call(Request::new(Full::default()), deadline).await?;
    Ok(reply.status.as_u16())
}

async fn call_client(address: SocketAddr) -> Result<u16, CallError> {
    let deadline = now().after_ms(DEADLINE_MS);
    let reply = HttpClient::unpooled().get(address, "/", deadline).await?;
    Ok(reply.status.as_u16())
}

// 101 and 600 to 999 were taken for answers.
#[tokio::test]
async fn call_status_of_no_answer() {
    for status in ["000", "099", "101", "600", "999"] {
        let head = format!("HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\nok");
        let address = start_server(head, b"").await;
        assert!(call_conn(address).await.is_err(), "{status}");
        assert!(call_client(address).await.is_err(), "{status}");
    }
    for status in [200, 404, 599] {
        let head = format!("HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\nok");
        let address = start_server(head, b"").await;
        assert_eq!(call_conn(address).await.unwrap(), status);
        assert_eq!(call_client(address).await.unwrap(), status);
    }
}

#[tokio::test]
async fn call_after_interim_answers() {
    let interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n".repeat(3);
    let head = format!("{interim}HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    let address = start_server(head, b"").await;
    assert_eq!(call_conn(address).await.unwrap(), 200);
    assert_eq!(call_client(address).await.unwrap(), 200);
}

const ENDLESS: [(&str, &[u8]); 7] = [
    ("HTTP/1.1 200 ", &[b'a'; 4096]),
    ("HTTP/1.1 200 OK\r\n", b"Aaaa: bbbb\r\n"),
    ("", b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"),
    ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"0000000000000000"),
    ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", &[b'a'; 4096]),
    ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", b"Aaaa: bbbb\r\n"),
    ("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", &[b'a'; 4096]),
];

// Interim answers without an end held the thread of the caller for seconds.
#[tokio::test]
async fn call_bytes_without_end() {
    for (head, bytes) in ENDLESS {
        let address = start_server(head.to_owned(), bytes).await;
        let started = Instant::now();
        for result in join_all((0..8).map(|_| call_conn(address))).await {
            assert!(result.is_err(), "{head:?}");
        }
        assert!(started.elapsed() < END_MAX, "{head:?}: {:?}", started.elapsed());
    }
}

#[tokio::test]
async fn client_call_bytes_without_end() {
    for (head, bytes) in ENDLESS {
        let address = start_server(head.to_owned(), bytes).await;
        let started = Instant::now();
        for result in join_all((0..8).map(|_| call_client(address))).await {
            assert!(result.is_err(), "{head:?}");
        }
        assert!(started.elapsed() < END_MAX, "{head:?}: {:?}", started.elapsed());
    }
}
