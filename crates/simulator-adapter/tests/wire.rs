//! End-to-end tests of the binary over pipes: what it replies to batches, and which batches it
//! rejects.

use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

/// Running adapter process with pipes to its standard streams.
struct AdapterProcess {
    child: Child,
    input: Option<ChildStdin>,
    output: BufReader<ChildStdout>,
    serial: u64,
    now: u64,
}

fn start_adapter() -> AdapterProcess {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let input = child.stdin.take();
    let output = BufReader::new(child.stdout.take().expect("piped"));
    AdapterProcess {
        child,
        input,
        output,
        serial: 0,
        now: 5_000_000_000,
    }
}

impl AdapterProcess {
    fn write_line(&mut self, line: &str) {
        let input = self.input.as_mut().expect("the input is open");
        writeln!(input, "{line}").expect("the adapter reads its input");
        input.flush().expect("the adapter reads its input");
    }

    /// Sends a batch and returns the outbox of the reply.
    fn batch(&mut self, arrivals: &Value) -> Vec<Value> {
        self.serial += 1;
        self.write_line(
            &json!({"moment_ns": self.now, "serial": self.serial, "arrivals": arrivals})
                .to_string(),
        );
        let mut reply = String::new();
        self.output
            .read_line(&mut reply)
            .expect("the adapter replies");
        let reply: Value = serde_json::from_str(&reply).expect("the reply is JSON");
        assert_eq!(reply["serial"], self.serial);
        reply["outbox"]
            .as_array()
            .expect("the outbox is an array")
            .clone()
    }

    /// Closes the input and returns the exit code, the remaining standard output, and standard
    /// error.
    fn close(mut self) -> (Option<i32>, String, String) {
        drop(self.input.take());
        let (mut remaining_output, mut errors) = (String::new(), String::new());
        self.output
            .read_to_string(&mut remaining_output)
            .expect("standard output is readable");
        self.child
            .stderr
            .take()
            .expect("piped")
            .read_to_string(&mut errors)
            .expect("standard error is readable");
        (
            self.child.wait().expect("the adapter exits").code(),
            remaining_output,
            errors,
        )
    }
}

fn setup() -> Value {
    json!({
        "profiles": [
            {"name": "read", "repeat": "safe", "goal_time_ns": 200_000_000u64,
             "give_up_ns": 1_000_000_000u64, "worth": 1.0, "unknown_list": [1, 2]},
            {"name": "pay", "repeat": "unsafe", "goal_time_ns": 200_000_000u64,
             "give_up_ns": 1_000_000_000u64}
        ],
        "areas": ["a", "b"], "machine_types": ["m"], "group_size": 1, "step_ns": 5_000_000u64,
        "membership_mode": "automatic", "unknown_object": {"x": 1},
        "accounts": [{"name": "one", "allowance_per_s": 10.0}],
        "feedback": {"how": "piggyback", "columns": ["concurrent", "x0"]},
        "caps": {"may_cancel": true, "second_copies": true, "max_attempts": 3},
        "obligations": {"grace_to_answer_ns": 20_000_000u64, "cold_from": 0.2,
                        "warm_after_ns": 1_000_000_000u64, "tip_after_ns": 1_000_000_000u64}
    })
}

fn nodes() -> Value {
    json!([
        [4_294_967_295u64, "a", "m", 0, "up", 1, null],
        [7, "b", "m", 1, "up", 1.5, 0],
        [9, "?", "?", null, "up", null]
    ])
}

const REQUEST_ID: &str = "5d3a91c4-7460-4fcd-ab45-d5130e6a9cec";

/// Starts an adapter with the instance `router_3`, which has an endpoint list.
fn adapter_with_instance() -> AdapterProcess {
    let mut adapter = start_adapter();
    assert!(adapter.batch(&json!([])).is_empty());
    adapter.batch(&json!([
        ["enlist", "router_3", 77, setup()],
        ["peers_known", "router_3", "stale_copy", 1, nodes()]
    ]));
    adapter
}

/// Returns the arrivals of a batch: one request of the tenant `one` with a timeout of 400 ms.
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

/// Returns the rows with this name.
fn rows_named<'a>(outbox: &'a [Value], name: &str) -> Vec<&'a Value> {
    outbox.iter().filter(|row| row[0] == name).collect()
}

#[test]
fn overdue_read_is_hedged_and_the_other_attempt_is_cancelled_after_the_answer() {
    let mut adapter = adapter_with_instance();
    let outbox = adapter.batch(&inbound(
        "router_3",
        REQUEST_ID,
        "read",
        &json!("91f03b7c55d20a64"),
        0,
    ));
    let sent = rows_named(&outbox, "deliver");
    assert_eq!(sent.len(), 1);
    assert_eq!(
        (&sent[0][1], &sent[0][2], &sent[0][4]),
        (&json!("router_3"), &json!(REQUEST_ID), &json!(0))
    );
    let first = sent[0][3].clone();
    let timers: Vec<Value> = rows_named(&outbox, "notify_me")
        .into_iter()
        .cloned()
        .collect();
    let hedge_timer = timers
        .iter()
        .find(|timer| timer[2] == 200_000_000u64)
        .expect("the hedge delay is half of the remaining time until latencies are known");
    adapter.now += 200_000_000;
    let outbox = adapter.batch(&json!([["deadline_hit", "router_3", hedge_timer[3]]]));
    let second = rows_named(&outbox, "deliver")[0][3].clone();
    assert_ne!(first, second);
    adapter.now += 10_000_000;
    let outbox = adapter.batch(&json!([[
        "attempt_end",
        "router_3",
        REQUEST_ID,
        1,
        second,
        "delivered",
        10_000_000u64,
        true,
        1,
        [3, 0.5]
    ]]));
    assert_eq!(outbox, vec![json!(["withdraw", "router_3", REQUEST_ID, 0])]);
    let outbox = adapter.batch(&json!([[
        "attempt_end",
        "router_3",
        REQUEST_ID,
        0,
        first,
        "revoked",
        10_000_000u64,
        true,
        null,
        null
    ]]));
    assert!(outbox.is_empty());
    assert_eq!(adapter.close(), (Some(0), String::new(), String::new()));
}

#[test]
fn request_whose_attempt_has_an_unknown_outcome_is_failed_and_not_rejected() {
    let mut adapter = adapter_with_instance();
    let outbox = adapter.batch(&inbound("router_3", REQUEST_ID, "pay", &json!(null), 4));
    let endpoint = rows_named(&outbox, "deliver")[0][3].clone();
    let outbox = adapter.batch(&json!([[
        "attempt_end",
        "router_3",
        REQUEST_ID,
        0,
        endpoint,
        "outcome_of_a_later_version",
        1,
        false,
        null,
        null
    ]]));
    assert_eq!(
        outbox,
        vec![json!(["report_failure", "router_3", REQUEST_ID])]
    );
    assert_eq!(adapter.close().0, Some(0));
}

#[test]
fn instances_share_no_state_and_a_restarted_instance_has_no_endpoint_list() {
    let mut adapter = adapter_with_instance();
    adapter.batch(&json!([
        ["stop", "router_3"],
        ["enlist", "router_3", 77, setup()]
    ]));
    let outbox = adapter.batch(&inbound("router_3", REQUEST_ID, "read", &json!(null), 0));
    assert!(
        rows_named(&outbox, "deliver").is_empty(),
        "the restarted instance has no endpoint list yet"
    );
    adapter.batch(&json!([
        ["enlist", "router_4", 1, setup()],
        ["peers_known", "router_4", "stale_copy", 1, nodes()]
    ]));
    let other_id = "5d3a91c4-7460-4fcd-ab45-d5130e6a9ced";
    let outbox = adapter.batch(&inbound("router_4", other_id, "read", &json!(null), 0));
    assert_eq!(rows_named(&outbox, "deliver").len(), 1);
    assert_eq!(adapter.close().0, Some(0));
}

/// Returns the arrivals of a batch with a single row.
fn single_row(row: &Value) -> String {
    json!([row]).to_string()
}

fn inbound_row(id: &str, profile: &str, tenant: &str, key: &Value, timeout: i32) -> String {
    single_row(&json!([
        "inbound", "router_3", id, profile, tenant, key, timeout, null, null, 0
    ]))
}

fn attempt_end_row(attempt: &Value, endpoint: &Value, is_finished: &Value) -> String {
    single_row(&json!([
        "attempt_end",
        "router_3",
        REQUEST_ID,
        attempt,
        endpoint,
        "delivered",
        1,
        is_finished
    ]))
}

fn endpoint_list_row(entries: &Value) -> String {
    single_row(&json!(["peers_known", "router_3", "whole", 2, entries]))
}

/// Malformed arrivals, each with a text that the error has to contain.
fn malformed_arrivals() -> Vec<(String, &'static str)> {
    let id = REQUEST_ID;
    let null = Value::Null;
    let (zero, seven, is_finished) = (json!(0), json!(7), json!(true));
    let keyed_class = json!({"name": "p", "repeat": "keyed", "give_up_ns": 5});
    let unknown_instance = json!([
        "inbound", "router_9", id, "read", "one", null, 1, null, null, 0
    ]);
    vec![
        ("[1, 2".to_string(), "not valid"),
        (single_row(&unknown_instance), "router_9"),
        (single_row(&json!(["jump", "router_3"])), "jump"),
        (single_row(&json!([])), "no name"),
        (inbound_row("me", "read", "one", &null, 1), "rid"),
        (inbound_row(id, "write", "one", &null, 1), "profile"),
        (inbound_row(id, "read", "two", &null, 1), "customer"),
        (
            inbound_row(id, "read", "one", &json!("xyz"), 1),
            "target_key",
        ),
        (inbound_row(id, "read", "one", &null, -5), "grace_ns"),
        (attempt_end_row(&json!("0"), &seven, &is_finished), "trial"),
        (attempt_end_row(&zero, &null, &is_finished), "server"),
        (attempt_end_row(&zero, &seven, &json!("yes")), "settled"),
        (single_row(&json!(["deadline_hit", "router_3"])), "cookie"),
        (single_row(&json!(["stop", "router_5"])), "router_5"),
        (
            endpoint_list_row(&json!([[7, "a", "m", 0, "resting", 1, null]])),
            "phase",
        ),
        (endpoint_list_row(&json!([7])), "nodes_list"),
        (
            single_row(&json!(["enlist", "router_6", 1, {"profiles": []}])),
            "classes",
        ),
        (
            single_row(&json!(["enlist", "router_6", 1, {"profiles": 3}])),
            "setup",
        ),
        (
            single_row(&json!(["enlist", "router_6", "x", setup()])),
            "prng",
        ),
        (
            single_row(&json!(["enlist", "router_6", 1, {"profiles": [keyed_class]}])),
            "group",
        ),
    ]
}

#[test]
fn malformed_batch_is_reported_and_ends_the_adapter() {
    for (arrivals, expected) in malformed_arrivals() {
        let mut adapter = adapter_with_instance();
        adapter.write_line(&format!(
            "{{\"moment_ns\":{},\"serial\":41,\"arrivals\":{arrivals}}}",
            adapter.now
        ));
        let (code, output, errors) = adapter.close();
        assert_eq!((code, output.as_str()), (Some(1), ""), "{arrivals}");
        assert_eq!(errors.lines().count(), 1, "{errors}");
        assert!(
            errors.contains(expected)
                && (!expected.starts_with("router_")
                    || errors.contains("must be an enlisted instance")),
            "{errors}"
        );
        assert!(
            arrivals.starts_with("[1, 2") || errors.contains("batch 41: arrival 0"),
            "{errors}"
        );
    }
}
