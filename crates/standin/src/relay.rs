//! A TCP relay that can cut, reset, silence or delay connections.

use {
    crate::{
        cli::RelayArgs,
        server::{STANDIN_LIMITS, not_found, ok, read_json},
    },
    egret_runtime::serve_http,
    http::Method,
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    serde_json::json,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::watch,
        task::JoinHandle,
    },
    volo_http::{request::Request, response::Response},
};

/// Size of the forwarding buffer.
const CHUNK_BYTES: usize = 64 * 1024;

/// Faults of the connections through a relay.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayFaults {
    /// New connections are closed at once, and all open ones break.
    pub cut: bool,
    /// Connections that break are reset instead of closed.
    pub reset: bool,
    /// Connections that are open when this is set stop forwarding; new ones work.
    pub silence_open: bool,
    /// Direction in which nothing is forwarded; it follows when this is unset.
    pub hold: Option<Flow>,
    /// Milliseconds by which each piece is delayed, in both directions.
    pub delay_ms: u64,
}

/// A direction.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Flow {
    /// From the callers.
    Requests,
    /// To the callers.
    Answers,
}

/// The faults as the connections see them.
#[derive(Clone, Copy, Debug, Default)]
struct Switches {
    faults: RelayFaults,
    /// Connections numbered below this one are silent.
    silent_below: u64,
}

/// A relay. Dropping it closes its address.
#[derive(Debug)]
pub struct Relay {
    shared: Arc<Shared>,
    server: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    switches: watch::Sender<Switches>,
    connections_opened: Mutex<u64>,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.server.abort();
    }
}

/// Relays connections until SIGTERM.
pub(crate) fn run(args: &RelayArgs) -> std::io::Result<()> {
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(async {
        let relay = Arc::new(Relay::start(args.listen, args.to).await?);
        let control = move |_, req| {
            let relay = relay.clone();
            Box::pin(async move { relay.handle_request(req).await }) as _
        };
        serve_http(args.control, STANDIN_LIMITS, control, || Box::pin(async {})).await
    })
}

impl Relay {
    /// Starts a relay from `listen` to `upstream`.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub async fn start(listen: SocketAddr, upstream: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let shared = Arc::new(Shared {
            switches: watch::Sender::default(),
            connections_opened: Mutex::default(),
        });
        let server = tokio::spawn(accept_connections(shared.clone(), listener, upstream));
        Ok(Self { shared, server })
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: RelayFaults) {
        let opened = *self.shared.connections_opened.lock();
        self.shared.switches.send_modify(|switches| {
            switches.faults = faults;
            if faults.silence_open {
                switches.silent_below = opened;
            }
        });
    }

    async fn handle_request(&self, req: Request) -> Response {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/healthz") => ok(&json!({})),
            (&Method::POST, "/faults") => match read_json::<RelayFaults>(req.into_body()).await {
                Ok(faults) => {
                    self.set_faults(faults);
                    ok(&json!({ "opened": *self.shared.connections_opened.lock() }))
                }
                Err(response) => response,
            },
            _ => not_found(),
        }
    }
}

async fn accept_connections(relay: Arc<Shared>, listener: TcpListener, upstream: SocketAddr) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let faults = relay.switches.borrow().faults;
        if faults.cut {
            if faults.reset {
                let _ = stream.set_zero_linger();
            }
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
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (mut client_read, mut client_write) = client.into_split();
    let (mut server_read, mut server_write) = server.into_split();
    let requests = Direction { number, flow: Flow::Requests, switches: switches.clone() };
    let answers = Direction { number, flow: Flow::Answers, switches };
    let end = tokio::select! {
        end = requests.forward(&mut client_read, &mut server_write) => end,
        end = answers.forward(&mut server_read, &mut client_write) => end,
    };
    if end == End::Reset {
        let _ = (client_write.as_ref().set_zero_linger(), server_write.as_ref().set_zero_linger());
    }
}

/// How the relay ends a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Closed,
    Reset,
}

/// One direction of a connection.
struct Direction {
    number: u64,
    flow: Flow,
    switches: watch::Receiver<Switches>,
}

impl Direction {
    async fn forward(mut self, read: &mut OwnedReadHalf, write: &mut OwnedWriteHalf) -> End {
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            let current = *self.switches.borrow_and_update();
            let faults = current.faults;
            if faults.cut {
                return if faults.reset { End::Reset } else { End::Closed };
            }
            let is_silent = faults.hold == Some(self.flow) || self.number < current.silent_below;
            tokio::select! {
                result = read.read(&mut chunk), if !is_silent => match result {
                    Ok(0) => return End::Closed,
                    Ok(count) => {
                        if faults.delay_ms > 0 {
                            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
                        }
                        if write.write_all(&chunk[..count]).await.is_err() {
                            return End::Reset;
                        }
                    }
                    Err(_) => return End::Reset,
                },
                changed = self.switches.changed() => if changed.is_err() {
                    return End::Closed;
                },
            }
        }
    }
}
