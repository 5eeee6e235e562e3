//! The real binary spoken to over pipes, with lines written for the test.

use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

struct Host {
    child: Child,
    input: Option<ChildStdin>,
    output: BufReader<ChildStdout>,
    serial: u64,
    now: u64,
}

fn start() -> Host {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    let input = child.stdin.take();
    let output = BufReader::new(child.stdout.take().expect("piped"));
    Host {
        child,
        input,
        output,
        serial: 0,
        now: 5_000_000_000,
    }
}

impl Host {
    fn line(&mut self, line: &str) {
        let input = self.input.as_mut().expect("open");
        writeln!(input, "{line}").expect("the binary reads");
        input.flush().expect("the binary reads");
    }

    fn batch(&mut self, arrivals: &Value) -> Vec<Value> {
        self.serial += 1;
        self.line(
            &json!({"moment_ns": self.now, "serial": self.serial, "arrivals": arrivals})
                .to_string(),
        );
        let mut reply = String::new();
        self.output.read_line(&mut reply).expect("a reply");
        let reply: Value = serde_json::from_str(&reply).expect("a reply is JSON");
        assert_eq!(reply["serial"], self.serial);
        reply["outbox"].as_array().expect("a list").clone()
    }

    /// Closes the input; the exit code, what else stood on standard output, and standard error.
    fn close(mut self) -> (Option<i32>, String, String) {
        drop(self.input.take());
        let (mut rest, mut errors) = (String::new(), String::new());
        self.output.read_to_string(&mut rest).expect("readable");
        self.child
            .stderr
            .take()
            .expect("piped")
            .read_to_string(&mut errors)
            .expect("readable");
        (self.child.wait().expect("it ends").code(), rest, errors)
    }
}

fn setup() -> Value {
    json!({
        "profiles": [
            {"name": "read", "repeat": "safe", "goal_time_ns": 200_000_000u64, "give_up_ns": 1_000_000_000u64,
             "worth": 1.0, "surprise": [1, 2]},
            {"name": "pay", "repeat": "unsafe", "goal_time_ns": 200_000_000u64, "give_up_ns": 1_000_000_000u64}
        ],
        "areas": ["a", "b"], "machine_types": ["m"], "group_size": 1, "step_ns": 5_000_000u64,
        "membership_mode": "automatic", "unheard_of": {"x": 1},
        "accounts": [{"name": "one", "allowance_per_s": 10.0}],
        "feedback": {"how": "piggyback", "columns": ["concurrent", "x0"]},
        "caps": {"may_cancel": true, "second_copies": true, "max_attempts": 3},
        "obligations": {"grace_to_answer_ns": 20_000_000u64, "cold_from": 0.2, "warm_after_ns": 1_000_000_000u64,
                        "tip_after_ns": 1_000_000_000u64}
    })
}

fn nodes() -> Value {
    json!([
        [4_294_967_295u64, "a", "m", 0, "up", 1, null],
        [7, "b", "m", 1, "up", 1.5, 0],
        [9, "?", "?", null, "up", null]
    ])
}

const ID: &str = "5d3a91c4-7460-4fcd-ab45-d5130e6a9cec";

fn enlisted() -> Host {
    let mut host = start();
    assert!(host.batch(&json!([])).is_empty());
    host.batch(&json!([
        ["enlist", "router_3", 77, setup()],
        ["peers_known", "router_3", "stale_copy", 1, nodes()]
    ]));
    host
}

/// A batch with one request of the tenant `one` that may take 400 ms.
fn inbound(router: &str, id: &str, profile: &str, key: &Value, flags: u64) -> Value {
    json!([[
        "inbound",
        router,
        id,
        profile,
        "one",
        key,
        400_000_000u64,
        null,
        null,
        flags
    ]])
}

fn named<'a>(outbox: &'a [Value], name: &str) -> Vec<&'a Value> {
    outbox.iter().filter(|a| a[0] == name).collect()
}

#[test]
fn a_read_is_forwarded_hedged_answered_and_its_loser_cancelled() {
    let mut host = enlisted();
    let out = host.batch(&inbound(
        "router_3",
        ID,
        "read",
        &json!("91f03b7c55d20a64"),
        0,
    ));
    let sent = named(&out, "deliver");
    assert_eq!(sent.len(), 1);
    assert_eq!(
        (&sent[0][1], &sent[0][2], &sent[0][4]),
        (&json!("router_3"), &json!(ID), &json!(0))
    );
    let first = sent[0][3].clone();
    let timers: Vec<Value> = named(&out, "notify_me").into_iter().cloned().collect();
    let copy = timers
        .iter()
        .find(|t| t[2] == 200_000_000u64)
        .expect("T is half the time left at first");
    host.now += 200_000_000;
    let out = host.batch(&json!([["deadline_hit", "router_3", copy[3]]]));
    let second = named(&out, "deliver")[0][3].clone();
    assert_ne!(first, second);
    host.now += 10_000_000;
    let out = host.batch(&json!([[
        "attempt_end",
        "router_3",
        ID,
        1,
        second,
        "delivered",
        10_000_000u64,
        true,
        1,
        [3, 0.5]
    ]]));
    assert_eq!(out, vec![json!(["withdraw", "router_3", ID, 0])]);
    let out = host.batch(&json!([[
        "attempt_end",
        "router_3",
        ID,
        0,
        first,
        "revoked",
        10_000_000u64,
        true,
        null,
        null
    ]]));
    assert!(out.is_empty());
    assert_eq!(host.close(), (Some(0), String::new(), String::new()));
}

#[test]
fn an_unknown_outcome_may_have_run() {
    let mut host = enlisted();
    let out = host.batch(&inbound("router_3", ID, "pay", &json!(null), 4));
    let to = named(&out, "deliver")[0][3].clone();
    let out = host.batch(&json!([[
        "attempt_end",
        "router_3",
        ID,
        0,
        to,
        "vaporised",
        1,
        false,
        null,
        null
    ]]));
    assert_eq!(out, vec![json!(["report_failure", "router_3", ID])]);
    assert_eq!(host.close().0, Some(0));
}

#[test]
fn instances_share_nothing_and_a_stopped_one_starts_empty() {
    let mut host = enlisted();
    host.batch(&json!([
        ["stop", "router_3"],
        ["enlist", "router_3", 77, setup()]
    ]));
    let out = host.batch(&inbound("router_3", ID, "read", &json!(null), 0));
    assert!(
        named(&out, "deliver").is_empty(),
        "no endpoint list was received since the start"
    );
    host.batch(&json!([
        ["enlist", "router_4", 1, setup()],
        ["peers_known", "router_4", "stale_copy", 1, nodes()]
    ]));
    let other = "5d3a91c4-7460-4fcd-ab45-d5130e6a9ced";
    let out = host.batch(&inbound("router_4", other, "read", &json!(null), 0));
    assert_eq!(named(&out, "deliver").len(), 1);
    assert_eq!(host.close().0, Some(0));
}

#[test]
fn malformed_batches_are_reported_and_end_the_run() {
    let list = |lines: Value| json!([["peers_known", "router_3", "whole", 2, lines]]).to_string();
    let cases = [
        ("[1, 2".to_string(), "not valid"),
        (json!([["inbound", "router_9", ID, "read", "one", null, 1, null, null, 0]]).to_string(), "router_9"),
        (json!([["jump", "router_3"]]).to_string(), "jump"),
        (json!([[]]).to_string(), "no name"),
        (json!([["inbound", "router_3", "me", "read", "one", null, 1, null, null, 0]]).to_string(), "rid"),
        (json!([["inbound", "router_3", ID, "write", "one", null, 1, null, null, 0]]).to_string(), "profile"),
        (json!([["inbound", "router_3", ID, "read", "two", null, 1, null, null, 0]]).to_string(), "customer"),
        (
            json!([["inbound", "router_3", ID, "read", "one", "xyz", 1, null, null, 0]]).to_string(),
            "target_key",
        ),
        (
            json!([["inbound", "router_3", ID, "read", "one", null, -5, null, null, 0]]).to_string(),
            "grace_ns",
        ),
        (json!([["attempt_end", "router_3", ID, "0", 7, "delivered", 1, true]]).to_string(), "trial"),
        (json!([["attempt_end", "router_3", ID, 0, null, "delivered", 1, true]]).to_string(), "server"),
        (json!([["attempt_end", "router_3", ID, 0, 7, "delivered", 1, "yes"]]).to_string(), "settled"),
        (json!([["deadline_hit", "router_3"]]).to_string(), "cookie"),
        (json!([["stop", "router_5"]]).to_string(), "router_5"),
        (list(json!([[7, "a", "m", 0, "resting", 1, null]])), "phase"),
        (list(json!([7])), "nodes_list"),
        (json!([["enlist", "router_6", 1, {"profiles": []}]]).to_string(), "classes"),
        (json!([["enlist", "router_6", 1, {"profiles": 3}]]).to_string(), "setup"),
        (json!([["enlist", "router_6", "x", setup()]]).to_string(), "prng"),
        (
            json!([["enlist", "router_6", 1, {"profiles": [{"name": "p", "repeat": "keyed", "give_up_ns": 5}]}]])
                .to_string(),
            "group",
        ),
    ];
    for (arrivals, named) in cases {
        let mut host = enlisted();
        host.line(&format!(
            "{{\"moment_ns\":{},\"serial\":41,\"arrivals\":{arrivals}}}",
            host.now
        ));
        let (code, output, errors) = host.close();
        assert_eq!((code, output.as_str()), (Some(1), ""), "{arrivals}");
        assert_eq!(errors.lines().count(), 1, "{errors}");
        assert!(
            errors.contains(named)
                || named.starts_with("router_") && errors.contains("unknown instance"),
            "{errors}"
        );
        assert!(
            arrivals.starts_with("[1, 2") || errors.contains("batch 41: arrival 0"),
            "{errors}"
        );
    }
}
