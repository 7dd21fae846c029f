//! A gate stands between two hosts and forwards bytes. While its cut is closed it holds what is on
//! the way and delivers it afterwards, and connection attempts hang without an error.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::Duration;

extern "C" {
    fn listen(fd: i32, backlog: i32) -> i32;
}

const STEP: Duration = Duration::from_millis(10);
const BACKLOG: i32 = 256;

/// The cut of some links; shared by their gates.
#[derive(Clone, Default)]
pub struct Cut(Arc<AtomicBool>);

impl Cut {
    pub fn set(&self, cut: bool) {
        self.0.store(cut, SeqCst);
    }

    pub fn is_cut(&self) -> bool {
        self.0.load(SeqCst)
    }

    fn wait(&self) {
        while self.is_cut() {
            sleep(STEP);
        }
    }
}

/// Opens a gate to the port `to` and returns its own port.
pub fn open(to: u16, cut: Cut) -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().unwrap();
    spawn(move || accept(&listener, addr, to, &cut));
    addr.port()
}

fn accept(listener: &TcpListener, addr: SocketAddr, to: u16, cut: &Cut) {
    listener.set_nonblocking(true).unwrap();
    let mut fillers: Vec<SocketAddr> = Vec::new();
    loop {
        if cut.is_cut() {
            fillers = hang_attempts(listener, addr, cut);
        }
        match listener.accept() {
            Ok((_, peer)) if fillers.contains(&peer) => {}
            Ok((stream, _)) => {
                let cut = cut.clone();
                spawn(move || forward(stream, to, cut));
            }
            Err(_) => sleep(Duration::from_millis(2)),
        }
    }
}

/// Fills the queue of connections until the cut is over: the kernel then answers no attempt.
fn hang_attempts(listener: &TcpListener, addr: SocketAddr, cut: &Cut) -> Vec<SocketAddr> {
    unsafe { listen(listener.as_raw_fd(), 0) };
    let fill = |_| TcpStream::connect_timeout(&addr, Duration::from_millis(20)).ok();
    let fillers: Vec<TcpStream> = (0..3).filter_map(fill).collect();
    let own = fillers.iter().filter_map(|filler| filler.local_addr().ok()).collect();
    cut.wait();
    unsafe { listen(listener.as_raw_fd(), BACKLOG) };
    own
}

fn forward(client: TcpStream, to: u16, cut: Cut) {
    let _ = client.set_nonblocking(false);
    let Ok(server) = TcpStream::connect(("127.0.0.1", to)) else { return };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (Ok(c), Ok(s)) = (client.try_clone(), server.try_clone()) else { return };
    let other = cut.clone();
    spawn(move || pump(c, s, &other));
    pump(server, client, &cut);
}

fn pump(mut from: TcpStream, mut to: TcpStream, cut: &Cut) {
    let mut chunk = [0; 65536];
    loop {
        let read = from.read(&mut chunk);
        cut.wait();
        match read {
            Ok(n) if n > 0 => {
                if to.write_all(&chunk[..n]).is_err() {
                    break;
                }
            }
            _ => break,
        }
    }
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}
