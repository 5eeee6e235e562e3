//! A start without any list: discovery is asked at once, and the process is ready when it has answered, though no client has come.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// After this something has failed.
const PATIENCE: Duration = Duration::from_secs(20);

/// The first line of the answer to a call of the operators.
fn call(management: &str) -> String {
    let mut stream = TcpStream::connect(management).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.write_all(b"GET /admin/health HTTP/1.1\r\n\r\n").unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text.lines().next().unwrap_or_default().to_string()
}

#[test]
fn without_a_known_list_the_process_is_ready_before_any_client_comes() {
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    discovery.set_nonblocking(true).unwrap();
    let config = std::env::temp_dir().join(format!("pipitrun-start-{}.json", std::process::id()));
    let text = format!(
        r#"{{"listen":"127.0.0.1:0","management":"127.0.0.1:0","discovery":"{}","settings":{{"group_size":1,
        "membership_mode":"subscribe","profiles":[{{"name":"read","repeat":"safe","give_up_ns":1000000000}}]}}}}"#,
        discovery.local_addr().unwrap()
    );
    std::fs::write(&config, text).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_pipitrun"))
        .env("GW_CONFIG", &config)
        .env("RUST_LOG", "info")
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut log = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
    let management = log.find_map(|l| Some(l.split_once("management listens on ")?.1.to_string())).unwrap();
    std::thread::spawn(move || log.for_each(drop));
    let asked = Instant::now();
    let mut watch = loop {
        if let Ok((watch, _)) = discovery.accept() {
            break watch;
        }
        if asked.elapsed() > PATIENCE {
            let _ = child.kill();
            panic!("discovery is never asked");
        }
        std::thread::sleep(Duration::from_millis(1));
    };
    assert_eq!(call(&management), "HTTP/1.1 503 Service Unavailable");
    let list = r#"{"seq":1,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.1:1"}]}"#;
    write!(
        watch,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{list}\n\r\n",
        list.len() + 1
    )
    .unwrap();
    while call(&management) != "HTTP/1.1 200 OK" && asked.elapsed() < PATIENCE {
        std::thread::sleep(Duration::from_millis(1));
    }
    let answer = call(&management);
    child.kill().unwrap();
    child.wait().unwrap();
    std::fs::remove_file(&config).unwrap();
    assert_eq!(answer, "HTTP/1.1 200 OK");
}
