//! Tests the start without an endpoint list: the process calls discovery immediately, and is ready
//! once it has received the list, even if no client has connected.

mod common;

use common::{ConfigFile, Program, TEST_TIMEOUT, listen, local};
use std::io::Write;
use std::time::{Duration, Instant};

#[test]
fn process_started_without_an_endpoint_list_is_ready_before_any_client_connects() {
    let discovery = listen();
    discovery.set_nonblocking(true).unwrap();
    let text = format!(
        r#"{{"listen":"127.0.0.1:0","discovery":"{}","settings":{{"group_size":1,
        "membership_mode":"subscribe","profiles":[{{"name":"read","repeat":"safe","give_up_ns":1000000000}}]}}}}"#,
        local(&discovery)
    );
    let config = ConfigFile::write("startup", &text);
    let program = Program::start(config.path(), &[]);
    let started = Instant::now();
    let mut watch = loop {
        if let Ok((watch, _)) = discovery.accept() {
            break watch;
        }
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "discovery was not called in time"
        );
        std::thread::sleep(Duration::from_millis(1));
    };
    assert!(
        program
            .admin_call("GET /admin/health")
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
}
