//! The balancers of a soak: real processes with signals, and what was done to them.

use super::records::{Life, Span, Time};
use super::sockets::Clock;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// What a balancer's clients may do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doors {
    /// It is not there, or not ready.
    Shut,
    /// It serves.
    Open,
    /// It was asked to end: open connections are used on.
    Ending,
}

/// What others may know of a balancer while the soak goes on.
#[derive(Clone, Debug)]
pub struct Public {
    /// What its clients may do.
    pub doors: Doors,
    /// Its lives so far.
    pub lives: Vec<Life>,
    /// When it stood still.
    pub stops: Vec<Span>,
}

/// The same, shared.
#[derive(Clone)]
pub struct Board(Arc<Mutex<Vec<Public>>>);

impl Board {
    /// For so many balancers.
    pub fn new(balancers: usize) -> Self {
        let none = Public {
            doors: Doors::Shut,
            lives: Vec::new(),
            stops: Vec::new(),
        };
        Board(Arc::new(Mutex::new(vec![none; balancers])))
    }

    /// To look or change.
    pub fn lock(&self) -> MutexGuard<'_, Vec<Public>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What a process has used.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor seconds.
    pub cpu_s: f64,
    /// Peak memory in MB.
    pub peak_mb: f64,
    /// Descriptors open now.
    pub descriptors: usize,
}

/// One balancer.
pub struct Balancer {
    number: usize,
    /// Where clients connect.
    pub listen: SocketAddr,
    program: PathBuf,
    config: Value,
    folder: PathBuf,
    clock: Clock,
    board: Board,
    child: Option<Child>,
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Balancer {
    /// One that is not started yet.
    pub fn new(
        number: usize,
        listen: SocketAddr,
        program: PathBuf,
        config: Value,
        folder: PathBuf,
        clock: Clock,
        board: Board,
    ) -> Self {
        Balancer {
            number,
            listen,
            program,
            config,
            folder,
            clock,
            board,
            child: None,
        }
    }

    fn public<T>(&self, change: impl FnOnce(&mut Public) -> T) -> T {
        change(&mut self.board.lock()[self.number])
    }

    /// Writes a key of its configuration; heeded at its next start, or when it is read again.
    ///
    /// # Errors
    ///
    /// If the file can't be written.
    pub fn configure(&mut self, key: &str, value: Value) -> Result<PathBuf, String> {
        self.config[key] = value;
        let path = self.folder.join(format!("n{}.json", self.number));
        std::fs::write(&path, self.config.to_string())
            .map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(path)
    }

    /// Starts it; it is open to clients once it says that it is ready.
    ///
    /// # Errors
    ///
    /// If the configuration can't be written, or the program not be started.
    pub fn start(&mut self, known: Value) -> Result<(), String> {
        self.kill();
        let path = self.configure("known", known)?;
        let log = self.folder.join(format!("n{}.log", self.number));
        let log = File::options()
            .create(true)
            .append(true)
            .open(&log)
            .map_err(|e| e.to_string())?;
        let counters = log.try_clone().map_err(|e| e.to_string())?;
        let child = Command::new(&self.program)
            .env_clear()
            .env("GW_CONFIG", &path)
            .env("RUST_LOG", "info")
            .stdin(Stdio::null())
            .stdout(counters)
            .stderr(log)
            .spawn()
            .map_err(|e| format!("{}: {e}", self.program.display()))?;
        self.child = Some(child);
        let started = self.clock.now();
        self.public(|me| {
            me.lives.push(Life {
                started,
                ..Life::default()
            })
        });
        Ok(())
    }

    /// Asks whether it is ready, if it is not known to be.
    pub fn look(&mut self) {
        let shut = self.public(|me| {
            me.doors == Doors::Shut && me.lives.last().is_some_and(|l| l.ready.is_none())
        });
        if self.child.is_none() || !shut || !self.says_ready() {
            return;
        }
        let now = self.clock.now();
        self.public(|me| {
            me.doors = Doors::Open;
            if let Some(life) = me.lives.last_mut() {
                life.ready = Some(now);
            }
        });
    }

    fn says_ready(&self) -> bool {
        let wait = Duration::from_millis(20);
        let asked = TcpStream::connect_timeout(&self.listen, wait).and_then(|mut stream| {
            stream.set_read_timeout(Some(wait))?;
            stream.write_all(b"*1\r\n$4\r\nPING\r\n")?;
            let mut answer = [0; 7];
            stream.read_exact(&mut answer)?;
            Ok(&answer == b"+PONG\r\n")
        });
        matches!(asked, Ok(true))
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = self
            .child
            .as_ref()
            .and_then(|child| i32::try_from(child.id()).ok())
        {
            let _ = kill(Pid::from_raw(pid), signal);
        }
    }

    /// Asks it to end.
    pub fn term(&mut self) {
        let now = self.clock.now();
        self.public(|me| {
            me.doors = Doors::Ending;
            if let Some(life) = me.lives.last_mut() {
                life.asked_to_end = Some(now);
            }
        });
        self.signal(Signal::SIGTERM);
    }

    /// Lets it stand still for so long.
    pub fn hold_up(&self, span: Duration) {
        let from = self.clock.now();
        self.signal(Signal::SIGSTOP);
        std::thread::sleep(span);
        self.signal(Signal::SIGCONT);
        let to = self.clock.now();
        self.public(|me| me.stops.push(Span { from, to }));
    }

    /// Whether it runs; notes its end.
    pub fn is_running(&mut self) -> bool {
        let Some(child) = &mut self.child else {
            return false;
        };
        let Ok(Some(status)) = child.try_wait() else {
            return true;
        };
        let now = self.clock.now();
        self.child = None;
        self.public(|me| {
            me.doors = Doors::Shut;
            if let Some(life) = me.lives.last_mut() {
                let asked = life.asked_to_end.is_some();
                life.ended = Some((now, asked && status.success()));
            }
        });
        false
    }

    /// Ends it without a word.
    pub fn kill(&mut self) {
        if !self.is_running() {
            return;
        }
        let Some(mut child) = self.child.take() else {
            return;
        };
        let now: Time = self.clock.now();
        self.public(|me| {
            me.doors = Doors::Shut;
            if let Some(life) = me.lives.last_mut() {
                life.killed = Some(now);
            }
        });
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Its counters as it prints them now.
    pub fn counters(&self) -> BTreeMap<String, u64> {
        self.signal(Signal::SIGUSR1);
        std::thread::sleep(Duration::from_millis(100));
        let log = self.folder.join(format!("n{}.log", self.number));
        let text = std::fs::read_to_string(log).unwrap_or_default();
        let line = text
            .lines()
            .rev()
            .find_map(|line| line.strip_prefix("counters: "))
            .unwrap_or_default();
        let read = |pair: &str| {
            let (name, count) = pair.split_once('=')?;
            Some((name.to_string(), count.parse().ok()?))
        };
        line.split(' ').filter_map(read).collect()
    }

    /// What it has used so far.
    pub fn usage(&self) -> Option<Usage> {
        let pid = self.child.as_ref()?.id();
        let read = |name: &str| std::fs::read_to_string(format!("/proc/{pid}/{name}")).ok();
        let stat = read("stat")?;
        let fields: Vec<&str> = stat.rsplit_once(") ")?.1.split(' ').collect();
        // User and system time, in hundredths of a second on Linux.
        let ticks: f64 = fields
            .get(11..13)?
            .iter()
            .filter_map(|f| f.parse::<f64>().ok())
            .sum();
        let status = read("status")?;
        let peak = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:")?.trim().strip_suffix(" kB"))?;
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count();
        Some(Usage {
            cpu_s: ticks / 100.0,
            peak_mb: peak.trim().parse::<f64>().ok()? / 1_024.0,
            descriptors,
        })
    }
}
