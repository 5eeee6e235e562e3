//! Tests of the request rate, and of the names on the admin page and in the counters.

use super::admin_view::MemberRow;
use super::*;
use crate::config::Config;
use membership::{Location, MemberStatus, MemberView};

#[test]
fn request_rate_is_rounded_to_two_significant_digits() {
    for (tenths, rounded_tenths) in [(0, 0), (7, 7), (99, 99), (123, 120), (98_765, 98_000)] {
        assert_eq!(round_to_two_digits(tenths), rounded_tenths);
    }
}

fn metadata() -> MemberMetadata {
    MemberMetadata {
        name: "n1".into(),
        listen_address: "127.0.0.1:6379".parse().unwrap(),
        phase: ServingPhase::Joining,
        build: "0.1.0".into(),
        config_checksum: 0xabc,
        request_rate_tenths: 0,
        places: 1,
        extension: Vec::new(),
    }
}

fn transport(location: &str) -> GossipTransport {
    let config = format!(
        r#"{{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1",
        "settings":{{"profiles":[{{"name":"put","repeat":"safe","give_up_ns":1}}]}},
        "fleet":{{"name":"a","bind":"127.0.0.1:0","advertise":"127.0.0.1:7946"{location}}}}}"#
    );
    let config = Config::read(&config).unwrap().fleet.unwrap();
    let poll = Poll::new().unwrap();
    let options = GossipOptions {
        config: &config,
        metadata: metadata(),
        configured_balancers: 4,
        seed: 7,
        may_share_address: false,
    };
    GossipTransport::open(&poll, options, 5_000 * MS).unwrap()
}

/// Admin pages as commit cab609d shows them, without and with regions.
const PAGE: &str = concat!(
    r#"{"address":"127.0.0.1:7946","config":"0000000000000abc","cut_off":false,"#,
    r#""datagrams":{"asked":0,"compared":0,"foreign":0,"full":0,"gaps":0,"given_up":0,"#,
    r#""heard":0,"heard_bytes":0,"load":0,"malformed":0,"put_off":0,"refuted":0,"#,
    r#""regions_asked":0,"returned":0,"sent":0,"sent_bytes":0,"suspicions":0,"torn":0,"#,
    r#""version":0},"door":"127.0.0.1:6379","fleet":"a","generation":5000,"level":0.0,"#,
    r#""living":1,"members":[],"name":"n1","places":1,"shared_by":4,"unsent":0}"#,
);
const PAGE_WITH_REGIONS: &str = concat!(
    r#"{"address":"127.0.0.1:7946","config":"0000000000000abc","cut_off":false,"#,
    r#""datagrams":{"asked":0,"compared":0,"foreign":0,"full":0,"gaps":0,"given_up":0,"#,
    r#""heard":0,"heard_bytes":0,"load":0,"malformed":0,"put_off":0,"refuted":0,"#,
    r#""regions_asked":0,"returned":0,"sent":0,"sent_bytes":0,"suspicions":0,"torn":0,"#,
    r#""version":0},"delegates":[],"door":"127.0.0.1:6379","fleet":"a","generation":5000,"#,
    r#""level":0.0,"living":1,"members":[],"name":"n1","places":1,"region":"r","#,
    r#""regions":[],"regions_dropped":{"full":0,"older":0,"refused_parts":0,"unsound":0},"#,
    r#""shared_by":4,"site":"s","unsent":0,"zone":"z"}"#,
);

const COUNTERS: &str = concat!(
    "fleet: shared_by=4 living=1 places=1 joining=0 serving=0 stalled=0 draining=0 ",
    "left=0 dead=0 sent=0 sent_bytes=0 heard=0 heard_bytes=0 unsent=0 torn=0 foreign=0 ",
    "version=0 malformed=0 full=0 asked=0 suspicions=0 given_up=0 refuted=0 returned=0 ",
    "gaps=0 compared=0 load=0 level=0.00",
);

const MEMBER: &str = concat!(
    r#"{"address":"127.0.0.1:7947","build":"0.1.0","config":"0000000000000abc","#,
    r#""door":"127.0.0.1:6379","generation":17,"incarnation":3,"name":"n1","places":1,"#,
    r#""requests_per_s":12.5,"since_ms":1500,"site":"s","state":"serving","zone":"z"}"#,
);
const UNKNOWN_MEMBER: &str = concat!(
    r#"{"address":"127.0.0.1:7947","build":null,"config":null,"door":null,"generation":17,"#,
    r#""incarnation":3,"name":"127.0.0.1:7947","places":null,"requests_per_s":null,"#,
    r#""since_ms":1500,"state":"serving"}"#,
);

#[test]
fn admin_page_and_counters_keep_their_names() {
    let region_counters = " regions=0 silent_regions=0 regions_asked=0 put_off=0 unsound=0 older=0 \
                           full_regions=0 refused_parts=0";
    for (location, page, counters) in [
        ("", PAGE, ""),
        (
            r#","region":"r","zone":"z","site":"s""#,
            PAGE_WITH_REGIONS,
            region_counters,
        ),
    ] {
        let transport = transport(location);
        assert_eq!(transport.admin_json(6_000 * MS), format!("{page}\n"));
        assert_eq!(transport.to_string(), format!("{COUNTERS}{counters}"));
    }
}

fn member_json(view: &MemberView) -> String {
    let row = MemberRow::new(view, 6_500 * MS);
    serde_json::to_value(row).unwrap().to_string()
}

#[test]
fn member_keeps_its_keys_on_the_admin_page() {
    let location = Location {
        region: "r".into(),
        zone: "z".into(),
        site: "s".into(),
    };
    let metadata = MemberMetadata {
        extension: location.encode(),
        request_rate_tenths: 125,
        ..metadata()
    };
    let mut view = MemberView {
        id: membership::Identity {
            address: "127.0.0.1:7947".parse().unwrap(),
            generation: 17,
        },
        incarnation: 3,
        status: MemberStatus::Serving,
        since: 5_000 * MS,
        metadata: Some(metadata),
    };
    assert_eq!(member_json(&view), MEMBER);
    view.metadata = None;
    assert_eq!(member_json(&view), UNKNOWN_MEMBER);
}

#[test]
fn statistics_keep_their_names_in_json() {
    let statistics = serde_json::to_value(membership::MemberStatistics::default()).unwrap();
    let mut names: Vec<&str> = statistics
        .as_object()
        .unwrap()
        .keys()
        .map(String::as_str)
        .collect();
    names.sort_unstable();
    assert_eq!(
        names.join(" "),
        "asked compared foreign full gaps given_up heard heard_bytes load malformed put_off \
         refuted regions_asked returned sent sent_bytes suspicions torn version"
    );
}

#[test]
fn statuses_keep_their_names_in_json() {
    for (status, name) in [
        (MemberStatus::Joining, "joining"),
        (MemberStatus::Serving, "serving"),
        (MemberStatus::Stalled, "stalled"),
        (MemberStatus::Draining, "draining"),
        (MemberStatus::Left, "left"),
        (MemberStatus::Dead, "dead"),
    ] {
        assert_eq!(serde_json::to_value(status).unwrap(), name);
        assert_eq!(status.name(), name);
    }
}
