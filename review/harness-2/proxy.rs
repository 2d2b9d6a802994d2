//! A path to one server that can be cut: while it is, nothing passes in either direction, also no end
//! of a connection. What was held up passes once the cut heals.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
};

#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    is_cut: Arc<(Mutex<bool>, Condvar)>,
}

impl Proxy {
    pub fn start(ip: &str, to: SocketAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let proxy = Self { address, is_cut: Arc::default() };
        let serving = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let proxy = serving.clone();
                thread::spawn(move || proxy.connect(client, to));
            }
        });
        proxy
    }

    pub fn set_cut(&self, is_cut: bool) {
        *self.is_cut.0.lock().unwrap() = is_cut;
        self.is_cut.1.notify_all();
    }

    fn wait_while_cut(&self) {
        let mut is_cut = self.is_cut.0.lock().unwrap();
        while *is_cut {
            is_cut = self.is_cut.1.wait(is_cut).unwrap();
        }
    }

    fn connect(&self, client: TcpStream, to: SocketAddr) {
        self.wait_while_cut();
        let Ok(server) = TcpStream::connect(to) else {
            return;
        };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (client_out, server_out) = (client.try_clone(), server.try_clone());
        let (Ok(client_out), Ok(server_out)) = (client_out, server_out) else {
            return;
        };
        let proxy = self.clone();
        thread::spawn(move || proxy.pump(client, server_out));
        self.pump(server, client_out);
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buf = [0; 16 * 1024];
        loop {
            let read = from.read(&mut buf);
            self.wait_while_cut();
            match read {
                Ok(0) => {
                    let _ = to.shutdown(Shutdown::Write);
                    return;
                }
                Ok(n) if to.write_all(&buf[..n]).is_ok() => {}
                Ok(_) | Err(_) => {
                    let _ = (to.shutdown(Shutdown::Both), from.shutdown(Shutdown::Both));
                    return;
                }
            }
        }
    }
}
