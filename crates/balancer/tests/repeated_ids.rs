//! Tests that a request that must not run twice does not, if its client disconnects and sends it once
//! more with the same id.

mod common;

use common::scripted_cache::{config, request, response, start_caches, start_program};
use common::{read_until, wait};
use rstest::rstest;
use std::io::Write;
use std::net::Shutdown;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_millis(2_500);

#[rstest]
#[case::unsafe_while_it_runs("once", false, 1)]
#[case::unsafe_after_its_end("once", true, 1)]
#[case::keyed("put", true, 1)]
#[case::read("read", true, 2)]
fn repeat_of_a_request_whose_client_has_left(
    #[case] class: &str,
    #[case] after_its_end: bool,
    #[case] attempts: usize,
) {
    let (caches, log) = start_caches(2, |exchange| {
        exchange.pause(Duration::from_millis(100));
        exchange.write(&response("done"));
    });
    let name = format!("repeat-{class}-{after_its_end}");
    let (program, _config) = start_program(&name, &config(&caches, 192, 1024));
    let value = (class != "read").then_some("value");
    let command = request(class, "id", TIMEOUT, value);
    let mut first = program.client();
    first.write_all(command.as_bytes()).unwrap();
    wait("the attempt", || log.of("id").len() == 1);
    first.shutdown(Shutdown::Both).unwrap();
    if after_its_end {
        wait("the disconnect", || {
            program.counter("client_disconnects") == 1
        });
        log.ended("id");
    }
    let mut again = program.client();
    again.write_all(command.as_bytes()).unwrap();
    let answer = read_until(&mut again, "\r\n");
    assert_eq!(answer.starts_with("-ERR "), attempts == 1, "{answer}");
    assert_eq!(log.of("id").len(), attempts);
}

/// All caches drain, so that nothing is forwarded.
#[test]
fn id_of_a_request_that_was_never_forwarded_may_be_used_again() {
    let (caches, log) = start_caches(1, |exchange| exchange.write(&response("done")));
    let mut text = config(&caches, 192, 1024);
    text["known"]["hosts"][0]["health"] = "terminating".into();
    let (program, _config) = start_program("never-forwarded", &text);
    let command = request("once", "id", Duration::from_millis(300), Some("value"));
    for _ in 0..2 {
        let mut client = program.client();
        client.write_all(command.as_bytes()).unwrap();
        assert!(read_until(&mut client, "\r\n").starts_with("-BUSY"));
    }
    assert_eq!(log.of("id").len(), 0);
}
