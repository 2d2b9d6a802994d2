//! A TCP relay that can cut connections, or silence those that are open.

use {
    crate::{
        cli::RelayArgs,
        server::{not_found, ok, read_json},
    },
    egret_runtime::serve_http,
    http::Method,
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    serde_json::json,
    std::{net::SocketAddr, sync::Arc},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::watch,
    },
    volo_http::{request::Request, response::Response},
};

/// Size of the forwarding buffer.
const CHUNK_BYTES: usize = 64 * 1024;

#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// New connections are closed at once, and all open ones break.
    cut: bool,
    /// Connections that are open when this is set stop forwarding; new ones work.
    silence_open: bool,
}

/// The faults as the connections see them.
#[derive(Clone, Copy, Debug, Default)]
struct Switches {
    cut: bool,
    /// Connections numbered below this one are silent.
    silent_below: u64,
}

struct Relay {
    switches: watch::Sender<Switches>,
    connections_opened: Mutex<u64>,
}

/// Relays connections until SIGTERM.
pub(crate) fn run(args: &RelayArgs) -> std::io::Result<()> {
    let runtime = tokio::runtime::Runtime::new()?;
    let relay =
        Arc::new(Relay { switches: watch::Sender::default(), connections_opened: Mutex::new(0) });
    let (listen, upstream) = (args.listen, args.to);
    let control = {
        let relay = relay.clone();
        move |_, req| {
            let relay = relay.clone();
            Box::pin(async move { relay.handle_request(req).await }) as _
        }
    };
    runtime.block_on(async {
        let listener = TcpListener::bind(listen).await?;
        tokio::spawn(accept_connections(relay, listener, upstream));
        serve_http(args.control, control, || Box::pin(async {})).await
    })
}

impl Relay {
    async fn handle_request(&self, req: Request) -> Response {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/healthz") => ok(&json!({})),
            (&Method::POST, "/faults") => match read_json::<Faults>(req.into_body()).await {
                Ok(faults) => {
                    let opened = *self.connections_opened.lock();
                    self.switches.send_modify(|switches| {
                        switches.cut = faults.cut;
                        if faults.silence_open {
                            switches.silent_below = opened;
                        }
                    });
                    ok(&json!({ "opened": opened }))
                }
                Err(response) => response,
            },
            _ => not_found(),
        }
    }
}

async fn accept_connections(relay: Arc<Relay>, listener: TcpListener, upstream: SocketAddr) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        if relay.switches.borrow().cut {
            continue;
        }
        let number = {
            let mut opened = relay.connections_opened.lock();
            *opened += 1;
            *opened - 1
        };
        let switches = relay.switches.subscribe();
        tokio::spawn(relay_connection(number, stream, upstream, switches));
    }
}

async fn relay_connection(
    number: u64,
    client: TcpStream,
    upstream: SocketAddr,
    switches: watch::Receiver<Switches>,
) {
    let Ok(server) = TcpStream::connect(upstream).await else {
        return;
    };
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::select! {
        () = forward(number, client_read, server_write, switches.clone()) => {}
        () = forward(number, server_read, client_write, switches) => {}
    }
}

async fn forward(
    number: u64,
    mut read: tokio::net::tcp::OwnedReadHalf,
    mut write: tokio::net::tcp::OwnedWriteHalf,
    mut switches: watch::Receiver<Switches>,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let current = *switches.borrow_and_update();
        if current.cut {
            return;
        }
        let silent = number < current.silent_below;
        tokio::select! {
            result = read.read(&mut chunk), if !silent => match result {
                Ok(count) if count > 0 => {
                    if write.write_all(&chunk[..count]).await.is_err() {
                        return;
                    }
                }
                _ => return,
            },
            changed = switches.changed() => if changed.is_err() {
                return;
            },
        }
    }
}
