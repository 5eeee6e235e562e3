//! A start without any list: discovery is asked at once, and the process is ready when it has
//! answered, though no client has come.

mod common;

use common::{PATIENCE, Program};
use std::io::Write;
use std::net::TcpListener;
use std::time::{Duration, Instant};

#[test]
fn without_a_known_list_the_process_is_ready_before_any_client_comes() {
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    discovery.set_nonblocking(true).unwrap();
    let config = std::env::temp_dir().join(format!("pipitrun-start-{}.json", std::process::id()));
    let text = format!(
        r#"{{"listen":"127.0.0.1:0","discovery":"{}","settings":{{"group_size":1,
        "membership_mode":"subscribe","profiles":[{{"name":"read","repeat":"safe","give_up_ns":1000000000}}]}}}}"#,
        discovery.local_addr().unwrap()
    );
    std::fs::write(&config, text).unwrap();
    let program = Program::start(&config, &[]);
    let asked = Instant::now();
    let mut watch = loop {
        if let Ok((watch, _)) = discovery.accept() {
            break watch;
        }
        assert!(asked.elapsed() < PATIENCE, "discovery is never asked");
        std::thread::sleep(Duration::from_millis(1));
    };
    assert!(
        program
            .call("GET /admin/health")
            .starts_with("HTTP/1.1 503 Service Unavailable\r\n")
    );
    let list = r#"{"seq":1,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.1:1"}]}"#;
    write!(
        watch,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{list}\n\r\n",
        list.len() + 1
    )
    .unwrap();
    program.wait_ready();
    std::fs::remove_file(&config).unwrap();
}
