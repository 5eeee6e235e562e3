//! Three toy tile caches and a toy discovery in one process, for trying pipitrun on one machine.
//!
//! Discovery is on 127.0.0.1:8500, the caches on 127.0.0.1:7001 to 7003; `examples/config.json` fits them. A line
//! on standard input changes the list: `drain 2` lets the second cache drain, `up 2` brings it back. The caches
//! keep values for as long as the process runs; a read of what none was given gets a made-up tile.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const CACHES: usize = 3;

/// What all threads share: the stored values, and the list with its version.
#[derive(Default)]
struct World {
    values: Mutex<HashMap<Vec<u8>, Vec<u8>>>,
    list: Mutex<(u64, [bool; CACHES])>,
}

fn main() -> io::Result<()> {
    let world = Arc::new(World::default());
    *world.list.lock().unwrap() = (1, [true; CACHES]);
    for cache in 1..=CACHES {
        serve(format!("127.0.0.1:{}", 7000 + cache), &world, move |stream, world| {
            tile_cache(cache, stream, world)
        })?;
    }
    serve("127.0.0.1:8500".into(), &world, discovery)?;
    println!("three tile caches and discovery are up; type 'drain 2' or 'up 2'");
    for line in io::stdin().lines() {
        let line = line?;
        let cache = line.split(' ').nth(1).and_then(|n| n.parse().ok()).filter(|n| (1..=CACHES).contains(n));
        match (line.split(' ').next(), cache) {
            (Some(word @ ("drain" | "up")), Some(cache)) => {
                let mut list = world.list.lock().unwrap();
                list.0 += 1;
                list.1[cache - 1] = word == "up";
            }
            _ => println!("'drain N' or 'up N', with N from 1 to {CACHES}"),
        }
    }
    // Without standard input it goes on serving until it is stopped.
    loop {
        std::thread::park();
    }
}

/// Takes connections at an address, each in a thread of its own: a toy may.
fn serve(
    address: String,
    world: &Arc<World>,
    answer: impl Fn(TcpStream, &World) -> io::Result<()> + Copy + Send + 'static,
) -> io::Result<()> {
    let listener =
        TcpListener::bind(&address).map_err(|e| io::Error::new(e.kind(), format!("{address}: {e}")))?;
    let world = Arc::clone(world);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let world = Arc::clone(&world);
            std::thread::spawn(move || answer(stream, &world));
        }
    });
    Ok(())
}

/// The lines of a RESP command's words, read one by one.
fn word(input: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let length = number(input)?;
    let mut word = vec![0; length + 2];
    input.read_exact(&mut word)?;
    word.truncate(length);
    Ok(word)
}

/// The number behind the first letter of a line.
fn number(input: &mut impl BufRead) -> io::Result<usize> {
    let mut line = String::new();
    input.read_line(&mut line)?;
    let number = line.get(1..).and_then(|n| n.trim().parse().ok()).filter(|n| *n <= 65536);
    number.ok_or_else(|| io::Error::other("no RESP, or the connection has ended"))
}

fn tile_cache(cache: usize, stream: TcpStream, world: &World) -> io::Result<()> {
    let mut input = BufReader::new(stream.try_clone()?);
    let mut output = stream;
    loop {
        let words = (0..number(&mut input)?).map(|_| word(&mut input)).collect::<io::Result<Vec<_>>>()?;
        std::thread::sleep(Duration::from_millis(20));
        match words.iter().map(Vec::as_slice).collect::<Vec<_>>()[..] {
            [b"C.GET", key, ..] => {
                let kept = world.values.lock().unwrap().get(key).cloned();
                let note = if kept.is_some() { "hit" } else { "miss" };
                let made_up = || format!("tile {} by toy-{cache}", String::from_utf8_lossy(key)).into_bytes();
                let value = kept.unwrap_or_else(made_up);
                write!(output, "*3\r\n${}\r\n", value.len())?;
                output.write_all(&value)?;
                write!(output, "\r\n${}\r\n{note}\r\n$-1\r\n", note.len())?;
            }
            [b"C.SET", key, _, _, value] => {
                world.values.lock().unwrap().insert(key.to_vec(), value.to_vec());
                write!(output, "*3\r\n$6\r\nstored\r\n$-1\r\n$-1\r\n")?;
            }
            [b"PING", ..] => write!(output, "+PONG\r\n")?,
            _ => write!(output, "-SYNTAX\r\n")?,
        }
    }
}

fn discovery(mut stream: TcpStream, world: &World) -> io::Result<()> {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte)?;
        request.push(byte[0]);
    }
    write!(
        stream,
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
    )?;
    let follow = request.windows(8).any(|w| w == b"follow=1");
    let (mut told, mut turns) = (0, 0);
    loop {
        let (seq, up) = *world.list.lock().unwrap();
        let line = if seq > told {
            let host = |(i, up): (usize, &bool)| {
                let (n, health) = (i + 1, if *up { "in_service" } else { "terminating" });
                format!(
                    r#"{{"host":"toy-{n}","dial":"127.0.0.1:{}","site":"dc-vake","class":"small-1c","block":{n},"health":"{health}","share":1.0,"born_ms":0}}"#,
                    7000 + n
                )
            };
            let hosts: Vec<String> = up.iter().enumerate().map(host).collect();
            Some(format!("{{\"seq\":{seq},\"whole\":true,\"hosts\":[{}]}}\n", hosts.join(",")))
        } else {
            // An empty line every 2 s shows that the watch still stands.
            (turns % 20 == 0).then(|| "\n".to_string())
        };
        (told, turns) = (seq, turns + 1);
        if let Some(line) = line {
            write!(stream, "{:x}\r\n{line}\r\n", line.len())?;
        }
        if !follow {
            return write!(stream, "0\r\n\r\n");
        }
        std::thread::sleep(Duration::from_millis(100));
    }
}
