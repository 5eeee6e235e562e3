//! Runs the program with the settings of both kinds of deployment: endpoint lists that are
//! requested or pushed, a short or long drain grace, with and without tenants, estimates of work,
//! health checks and retry marks. With each combination a read is served, its fields are forwarded,
//! and a draining cache gets no new request after the update.

mod common;

use common::{ConfigFile, Program, accept, listen, local, read_until, resp_command};
use rstest::rstest;
use serde_json::json;
use std::io::{Read, Write};

const MS: u64 = 1_000_000;

fn get(id: u32, fields: &str) -> String {
    resp_command(&["C.GET", "a", &id.to_string(), fields])
}

#[rstest]
fn read_is_served_and_a_draining_cache_gets_no_new_request(
    #[values("automatic", "subscribe")] mode: &str,
    #[values(500, 2_500)] grace_ms: u64,
    #[values("t=acme,", "")] tenant: &str,
    #[values("h=48211,", "")] estimate: &str,
    #[values((true, ",r=1"), (false, ""))] (may_probe, retry_mark): (bool, &str),
) {
    let (cache, discovery) = (listen(), listen());
    let host = json!({"host": "s-1", "dial": local(&cache)});
    let accounts = if tenant.is_empty() {
        json!([])
    } else {
        json!([{"name": "acme", "allowance_per_s": 9.0}])
    };
    let (goal_time, give_up) = if mode == "automatic" {
        (1_200, 2_500)
    } else {
        (300, 600)
    };
    let config = json!({
        "listen": "127.0.0.1:0", "discovery": local(&discovery), "seed": "2a",
        "known": {"seq": 7, "whole": true, "hosts": [host]},
        "settings": {
            "membership_mode": mode, "group_size": 3, "accounts": accounts, "step_ns": 5 * MS,
            "caps": {"max_attempts": 6, "may_probe": may_probe, "may_cancel": true, "second_copies": true},
            "obligations": {"drain_grace_ns": grace_ms * MS, "must_ask_in_ns": 10_000 * MS, "grace_to_answer_ns": 20 * MS},
            "profiles": [{"name": "read", "repeat": "safe", "goal_time_ns": goal_time * MS, "give_up_ns": give_up * MS, "worth": 1}],
        },
    });
    let name = format!(
        "{mode}-{grace_ms}-{}-{}-{may_probe}",
        tenant.len(),
        estimate.len()
    );
    let file = ConfigFile::write(&name, &config.to_string());
    let program = Program::start(file.path(), &[]);

    let mut watch = accept(&discovery);
    assert!(
        read_until(&mut watch, "\r\n\r\n").starts_with("GET /registry/instances?follow=1&since=7 ")
    );
    let mut client = program.client();
    let fields = |d: &str| format!("c=read,{tenant}{estimate}size=0.4{retry_mark},d={d}");
    client
        .write_all(get(1, &fields("900000")).as_bytes())
        .expect("the peer reads");
    let mut attempt = accept(&cache);
    let header = read_until(&mut attempt, "\r\n").replace("*4", "");
    assert_eq!(header, "\r\n");
    let forwarded = read_until(&mut attempt, ",d=");
    let expected = get(1, &fields(""));
    let expected = &expected[expected.rfind("c=read").expect("the fields")..expected.len() - 2];
    assert!(
        forwarded.ends_with(expected),
        "forwarded {forwarded}, expected {expected}"
    );
    attempt
        .write_all(b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n")
        .expect("the peer reads");
    assert_eq!(read_until(&mut client, "v\r\n"), "$1\r\nv\r\n");

    let update = json!({"seq": 8, "hosts": [{"host": "s-1", "dial": local(&cache), "health": "terminating"}]});
    write!(watch, "HTTP/1.1 200 OK\r\n\r\n{update}\n").expect("the peer reads");
    // The update closes the idle connection. Bytes that are still unread there are ignored.
    let mut ignored = Vec::new();
    attempt
        .read_to_end(&mut ignored)
        .expect("the connection is closed in time");
    client
        .write_all(get(2, &fields("900000")).as_bytes())
        .expect("the peer reads");
    assert!(read_until(&mut client, "\r\n").starts_with("-BUSY"));
}

#[rstest]
fn class_has_its_own_idempotency_among_any_number_of_others(
    #[values(1, 12)] classes: usize,
    #[values(("safe", true), ("keyed", true), ("unsafe", false))] (repeat, is_retried): (
        &str,
        bool,
    ),
    #[values(0, 3)] tenants: usize,
) {
    let (cache, discovery) = (listen(), listen());
    // All classes before the last have another idempotency; their timeouts range from 0.1 s to 30
    // s.
    let other_repeat = if is_retried { "unsafe" } else { "safe" };
    let profiles: Vec<_> = (1..=classes)
        .map(|n| {
            let give_up = if n == classes { 20_000 } else { 100 + (n as u64 - 1) * 3_000 };
            json!({"name": format!("class-{n}"), "repeat": if n == classes { repeat } else { other_repeat }, "group": "all",
                "memory_span_ns": 20_000 * MS, "goal_time_ns": give_up * MS / 2, "give_up_ns": give_up * MS, "worth": n})
        })
        .collect();
    let accounts: Vec<_> = (0..tenants)
        .map(|n| json!({"name": format!("t{n}"), "allowance_per_s": 9.0}))
        .collect();
    let config = json!({
        "listen": "127.0.0.1:0", "discovery": local(&discovery), "seed": "2a",
        "known": {"seq": 7, "whole": true, "hosts": [{"host": "s-1", "dial": local(&cache)}]},
        "settings": {
            "membership_mode": "automatic", "group_size": 2, "accounts": accounts, "step_ns": MS,
            "caps": {"max_attempts": 2, "may_cancel": true},
            "obligations": {"drain_grace_ns": 500 * MS, "grace_to_answer_ns": 20 * MS}, "profiles": profiles,
        },
    });
    let name = format!("{classes}-{repeat}-{tenants}");
    let file = ConfigFile::write(&name, &config.to_string());
    let program = Program::start(file.path(), &[]);
    let mut client = program.client();
    client
        .write_all(get(1, &format!("c=class-{classes},d=19000")).as_bytes())
        .expect("the peer reads");
    // The connection ends after the whole command, so the request may have run.
    let mut attempt = accept(&cache);
    read_until(&mut attempt, ",d=");
    read_until(&mut attempt, "\r\n");
    drop(attempt);
    if is_retried {
        let mut retry = accept(&cache);
        read_until(&mut retry, ",d=");
        read_until(&mut retry, "\r\n");
        retry
            .write_all(b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n")
            .expect("the peer reads");
        assert_eq!(read_until(&mut client, "v\r\n"), "$1\r\nv\r\n");
    } else {
        assert_eq!(read_until(&mut client, "\r\n"), "-ERR failed\r\n");
    }
}
