//! Two processes of one balancer on a listening socket that both inherit, under a stream of
//! requests: a new version takes over, and either of them is killed.

mod common;

use common::{Program, connect, resp_command, wait};
use socket2::Socket;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const CONFIG: &str = r#"{"name":"n1","listen":"LISTEN","discovery":"127.0.0.1:1","seed":"2a",
    "limits":{"cores":1.0,"memory_mb":64,"sockets":1024},
    "known":{"seq":41,"whole":true,"hosts":[{"host":"s-1","dial":"CACHE","health":"in_service"}]},
    "settings":{"group_size":1,"membership_mode":"subscribe","caps":{"max_attempts":1},
        "profiles":[{"name":"read","repeat":"safe","goal_time_ns":3000000000,"give_up_ns":9000000000}]}}"#;

// One attempt: with more, a try is given up after some 15 ms here, and a cache that a busy machine
// halts for that long has requests refused, which is none of the hand-over's doing.

/// Reads one RESP command; none at the end.
fn command(from: &mut impl BufRead) -> Option<Vec<Vec<u8>>> {
    let mut line = String::new();
    let mut number = |from: &mut dyn BufRead| -> Option<usize> {
        line.clear();
        from.read_line(&mut line).ok()?;
        line.trim().get(1..)?.parse().ok()
    };
    let count = number(from)?;
    let mut words = Vec::new();
    for _ in 0..count {
        let mut word = vec![0; number(from)? + 2];
        from.read_exact(&mut word).ok()?;
        word.truncate(word.len() - 2);
        words.push(word);
    }
    Some(words)
}

/// A cache that answers each read with its id.
fn cache() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let mut from = BufReader::new(stream.try_clone().unwrap());
                let mut to = stream;
                while let Some(words) = command(&mut from) {
                    // As a cache does; answers within microseconds have tries given up after one
                    // millisecond.
                    std::thread::sleep(Duration::from_millis(5));
                    let id = String::from_utf8(words[2].clone()).unwrap();
                    let answer = format!("*3\r\n${}\r\n{id}\r\n$3\r\nhit\r\n$-1\r\n", id.len());
                    if to.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// What the processes share.
struct Pair {
    socket: Socket,
    address: String,
    directory: PathBuf,
}

impl Drop for Pair {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

impl Pair {
    fn new(name: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let socket = Socket::from(listener);
        socket.set_cloexec(false).unwrap();
        let directory =
            std::env::temp_dir().join(format!("pipitrun-upgrade-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        let config = CONFIG
            .replace("LISTEN", &address)
            .replace("CACHE", &cache());
        std::fs::write(directory.join("config.json"), config).unwrap();
        Pair {
            socket,
            address,
            directory,
        }
    }

    fn start(&self) -> Program {
        let socket = self.socket.as_raw_fd().to_string();
        let variables = [
            ("GW_SOCKET_FD", socket.as_ref()),
            ("TMPDIR", self.directory.as_os_str()),
        ];
        Program::start(&self.directory.join("config.json"), &variables)
    }

    /// A process that serves clients, who ask without a pause.
    fn under_load(&self) -> (Program, Clients) {
        let program = self.start();
        program.wait_ready();
        let clients = Clients::start(&self.address);
        clients.wait(100);
        (program, clients)
    }
}

/// One request on this connection; false if the connection has ended without an answer. Whatever
/// comes must be the whole answer.
fn ask(stream: &mut TcpStream, id: &str) -> bool {
    let command = resp_command(&["C.GET", "k", id, "c=read,d=9000"]);
    if stream.write_all(command.as_bytes()).is_err() {
        return false;
    }
    let want = format!("${}\r\n{id}\r\n", id.len());
    let mut got = vec![0; want.len()];
    // The shortest answer is a refusal: whoever waits for more than that may wait for good.
    let (start, rest) = got.split_at_mut(b"-BUSY\r\n".len());
    if stream.read_exact(start).is_err() || start[0] == b'$' && stream.read_exact(rest).is_err() {
        return false;
    }
    assert_eq!(String::from_utf8_lossy(&got), want);
    true
}

/// Clients that ask without a pause until told to stop.
struct Clients {
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
    lost: Arc<Mutex<Vec<String>>>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Clients {
    /// Two that ask once on a connection, two that keep theirs until the program ends it.
    fn start(address: &str) -> Self {
        let (stop, answered): (Arc<AtomicBool>, Arc<AtomicUsize>) = Default::default();
        let lost: Arc<Mutex<Vec<String>>> = Default::default();
        let threads = (0..4).map(|client| {
            let (address, stop) = (address.to_string(), stop.clone());
            let (answered, lost) = (answered.clone(), lost.clone());
            std::thread::spawn(move || {
                let mut kept = None;
                for n in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("{client}-{n:08}");
                    let used: Option<TcpStream> = kept.take();
                    let fresh = used.is_none();
                    let mut stream = used.unwrap_or_else(|| connect(&address));
                    // A kept connection may end between two requests: the one that crosses that is
                    // asked again.
                    let mut done = ask(&mut stream, &id);
                    if !done && !fresh {
                        stream = connect(&address);
                        done = ask(&mut stream, &id);
                    }
                    if done {
                        answered.fetch_add(1, Ordering::Relaxed);
                        kept = (client < 2).then_some(stream);
                    } else {
                        lost.lock().unwrap().push(id);
                    }
                }
            })
        });
        let threads = threads.collect();
        Clients {
            stop,
            answered,
            lost,
            threads,
        }
    }

    /// Waits until this many more have been answered.
    fn wait(&self, more: usize) {
        let until = self.answered.load(Ordering::Relaxed) + more;
        wait("answers", || {
            assert!(
                self.threads.iter().all(|t| !t.is_finished()),
                "a client has failed"
            );
            self.answered.load(Ordering::Relaxed) >= until
        });
    }

    /// The requests that were not answered.
    fn end(mut self) -> Vec<String> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            thread.join().expect("a client has failed");
        }
        std::mem::take(&mut self.lost.lock().unwrap())
    }
}

#[test]
fn new_process_takes_over_and_no_request_is_lost() {
    let pair = Pair::new("over");
    let (mut old, clients) = pair.under_load();
    clients.wait(100);
    for _ in 0..2 {
        let new = pair.start();
        new.wait_ready();
        old.wait_log("bytes written for process");
        new.wait_log(
            "state transfer from the other process: received list version 41, current version 41",
        );
        clients.wait(50);
        old.signal("TERM");
        assert!(old.process.wait().unwrap().success(), "it leaves by itself");
        clients.wait(200);
        new.wait_log("another process of this balancer is running: false");
        old = new;
    }
    assert_eq!(clients.end(), Vec::<String>::new());
}

#[test]
fn killed_new_process_leaves_the_old_one_as_it_was() {
    let pair = Pair::new("newcomer");
    let (old, clients) = pair.under_load();
    // As soon as it has begun, and once both serve.
    for ready in [false, true] {
        let mut new = pair.start();
        old.wait_log("another process of this balancer is running: true");
        if ready {
            new.wait_ready();
            clients.wait(100);
        }
        new.process.kill().unwrap();
        new.process.wait().unwrap();
        old.wait_log("another process of this balancer is running: false");
        clients.wait(200);
    }
    assert!(old.is_ready());
    // What the killed one had taken was lost with it: at most one for each client.
    assert!(clients.end().len() <= 4);
}

#[test]
fn new_process_serves_alone_once_the_old_one_is_killed() {
    let pair = Pair::new("old");
    let (mut old, clients) = pair.under_load();
    let new = pair.start();
    new.wait_ready();
    old.process.kill().unwrap();
    old.process.wait().unwrap();
    new.wait_log("another process of this balancer is running: false");
    clients.wait(200);
    assert!(clients.end().len() <= 4);
}

#[test]
fn ending_process_accepts_clients_while_the_other_is_quiesced() {
    let pair = Pair::new("drained");
    let mut old = pair.start();
    old.wait_ready();
    let new = pair.start();
    new.wait_ready();
    let text = new.admin_call("POST /admin/quiesce");
    assert!(text.ends_with("{\"state\":\"quiesced\"}\n"), "{text}");
    assert!(ask(&mut connect(&pair.address), "1"));
    old.signal("TERM");
    old.wait_log("shutdown requested");
    assert!(ask(&mut connect(&pair.address), "2"));
    assert!(old.process.wait().unwrap().success());
    assert!(
        ask(&mut connect(&pair.address), "3"),
        "drained, it still serves who comes"
    );
}

/// Gossip has one address: the new process serves without it until the old one has left.
#[test]
fn new_process_takes_the_gossip_address_once_the_old_one_has_left() {
    let pair = Pair::new("fleet");
    let file = pair.directory.join("config.json");
    let address = std::net::UdpSocket::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let fleet = format!("\"fleet\":{{\"name\":\"a\",\"bind\":\"{address}\"}},\"settings\"");
    let config = std::fs::read_to_string(&file)
        .unwrap()
        .replace("\"settings\"", &fleet);
    std::fs::write(&file, config).unwrap();
    let older = pair.start();
    older.wait_ready();
    older.wait_log("fleet: a gossips at");
    let newer = pair.start();
    newer.wait_log("is in use by the other process");
    newer.wait_ready();
    older.signal("TERM");
    newer.wait_log("fleet: a gossips at");
}
