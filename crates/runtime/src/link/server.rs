//! Server side of links.

use {
    super::{
        FRAME_BYTES_MAX, codec,
        message::{Body, Frame, Hello},
    },
    crate::{
        event::events,
        web::{ConnectionPlace, Connections, SocketBuffers, listen},
    },
    bytes::Bytes,
    egret_core::{Time, hex_digest},
    futures::{SinkExt, StreamExt, future::BoxFuture},
    prost::Message,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpStream, sync::mpsc, task::JoinSet},
    tokio_util::codec::{FramedRead, FramedWrite},
};

/// Limit of answers queued for writing.
const WRITE_QUEUE_FRAMES: usize = 4096;

/// Timeout for the hello of a new connection, in milliseconds.
const HELLO_TIMEOUT_MS: u64 = 2000;

/// Connections that have not said hello at the same time. A new one takes the place of the one that has
/// waited longest.
const UNKNOWN_PEERS_MAX: usize = 256;

/// Size limit of the hello, in bytes.
const HELLO_BYTES_MAX: usize = 16 * 1024;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Function that answers requests on links. The first argument identifies the peer.
pub(super) type LinkHandler =
    Arc<dyn Fn(Arc<Hello>, Body) -> BoxFuture<'static, Option<Body>> + Send + Sync>;

/// Serves links on `address`. Each request is answered by its own task; when a connection ends,
/// its tasks are cancelled.
///
/// # Errors
///
/// When the address can't be bound.
pub async fn serve_links(
    address: SocketAddr,
    secret: String,
    handler: LinkHandler,
) -> std::io::Result<()> {
    let listener = listen(address, SocketBuffers::default()).await?;
    let unknown_peers = Connections::new("links", UNKNOWN_PEERS_MAX);
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                // a listener without file descriptors fails at once, each time
                events::ACCEPT_FAILED.warn(format_args!("problem={e}"));
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let place = unknown_peers.open();
        let (secret, handler) = (secret.clone(), handler.clone());
        tokio::spawn(async move {
            if let Err(problem) = serve_link(stream, place, &secret, handler).await {
                events::LINK_REFUSED.warn(format_args!("peer={peer} {problem}"));
            }
        });
    }
}

async fn serve_link(
    stream: TcpStream,
    place: ConnectionPlace,
    secret: &str,
    handler: LinkHandler,
) -> Result<(), &'static str> {
    stream.set_nodelay(true).map_err(|_| "connection lost")?;
    let (read, write) = stream.into_split();
    let mut source = FramedRead::new(read, codec());
    source.decoder_mut().set_max_frame_length(HELLO_BYTES_MAX);
    let mut sink = FramedWrite::new(write, codec());
    let hello_deadline = crate::now().after_ms(HELLO_TIMEOUT_MS);
    let (id, hello) = tokio::select! {
        hello = read_hello(&mut source, secret, hello_deadline) => hello?,
        () = place.wait_until_cut() => return Err("too many connections without a hello"),
    };
    drop(place);
    source.decoder_mut().set_max_frame_length(FRAME_BYTES_MAX);
    let (tx, mut rx) = mpsc::channel::<Frame>(WRITE_QUEUE_FRAMES);
    let welcome = Frame { id, body: Some(Body::Ok(Hello::default())) };
    tx.try_send(welcome).map_err(|_| "connection closed")?;
    let writer = tokio::spawn(async move {
        while let Some(frame) = rx.recv().await {
            if sink.send(Bytes::from(frame.encode_to_vec())).await.is_err() {
                break;
            }
        }
    });
    let mut tasks = JoinSet::new();
    while let Some(Ok(bytes)) = source.next().await {
        let Ok(Frame { id, body }) = Frame::decode(bytes) else {
            // after an undecodable frame nothing on this connection can be trusted
            events::LINK_BROKEN.warn(format_args!("peer={} invalid frame", hello.host));
            break;
        };
        let Some(body) = body else {
            // a kind of message of a later release
            continue;
        };
        let (tx, answer) = (tx.clone(), handler(hello.clone(), body));
        tasks.spawn(async move {
            if let Some(body) = answer.await {
                let _ = tx.send(Frame { id, body: Some(body) }).await;
            }
        });
        while tasks.try_join_next().is_some() {}
    }
    writer.abort();
    Ok(())
}

async fn read_hello(
    source: &mut FramedRead<
        tokio::net::tcp::OwnedReadHalf,
        tokio_util::codec::LengthDelimitedCodec,
    >,
    secret: &str,
    deadline: Time,
) -> Result<(u64, Arc<Hello>), &'static str> {
    let first = crate::web::with_deadline(deadline, source.next()).await;
    let bytes = first.flatten().and_then(Result::ok).ok_or("no first frame received")?;
    let frame = Frame::decode(bytes).map_err(|_| "invalid frame")?;
    let Some(Body::Hello(hello)) = frame.body else {
        return Err("first frame is not a hello");
    };
    // digests have equal lengths, and comparing them does not reveal how much of a guess is right
    if hex_digest(hello.secret.as_bytes()) != hex_digest(secret.as_bytes()) {
        return Err("wrong or missing link secret");
    }
    Ok((frame.id, Arc::new(hello)))
}
