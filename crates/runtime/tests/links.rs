//! Links: wrong secrets, frames that make no sense, peers that go silent.

use {
    egret_runtime::{Body, Hello, Link, LinkError, StatusMsg, now, serve_links},
    std::{net::SocketAddr, sync::Arc},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

fn hello(secret: &str) -> Hello {
    Hello { host: "h".to_owned(), incarnation: 1, secret: secret.to_owned() }
}

/// A server that answers status questions, at an address of its own.
async fn server() -> SocketAddr {
    let free = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = free.local_addr().unwrap();
    drop(free);
    let answerer = Arc::new(|_: Arc<Hello>, body: Body| {
        Box::pin(async move {
            match body {
                Body::Status(_) => Some(Body::Status(StatusMsg { json: "{}".to_owned() })),
                _ => None,
            }
        }) as _
    });
    tokio::spawn(serve_links(address, "right".to_owned(), answerer));
    while TcpStream::connect(address).await.is_err() {
        tokio::task::yield_now().await;
    }
    address
}

fn status() -> Body {
    Body::Status(StatusMsg::default())
}

#[tokio::test]
async fn link_answers_questions() {
    let address = server().await;
    let link = Link::connect(address, &hello("right"), now().after_ms(5000)).await.unwrap();
    let answer = link.call(status(), now().after_ms(5000)).await.unwrap();
    assert!(matches!(answer, Body::Status(_)));
}

#[tokio::test]
async fn link_wrong_secret_is_refused() {
    let address = server().await;
    for secret in ["wrong", ""] {
        let link = Link::connect(address, &hello(secret), now().after_ms(5000)).await;
        assert_eq!(link.unwrap_err(), LinkError::Broken);
    }
}

#[tokio::test]
async fn link_nonsense_closes_that_connection_only() {
    let address = server().await;
    for bytes in [&b"\0\0\0\x03abc"[..], &b"\xff\xff\xff\xffxx"[..], &b"GET / HTTP/1.1\r\n\r\n"[..]]
    {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest).await;
        assert!(rest.is_empty());
    }
    let link = Link::connect(address, &hello("right"), now().after_ms(5000)).await.unwrap();
    assert!(link.call(status(), now().after_ms(5000)).await.is_ok());
}

#[tokio::test]
async fn link_silent_peer_is_late_not_for_ever() {
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = silent.local_addr().unwrap();
    let link = Link::connect(address, &hello("right"), now().after_ms(200)).await;
    assert_eq!(link.unwrap_err(), LinkError::Late);
}

#[tokio::test]
async fn link_nobody_there_is_not_connected() {
    let free = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = free.local_addr().unwrap();
    drop(free);
    let link = Link::connect(address, &hello("right"), now().after_ms(2000)).await;
    assert_eq!(link.unwrap_err(), LinkError::NotConnected);
}
