//! Endpoints whose zones and cells the settings name, or not.

use super::*;
use crate::config::Config;

#[test]
fn unnamed_zones_and_cells_are_not_taken_for_one() {
    let config = r#"{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{"areas":["a"],
        "profiles":[{"name":"put","repeat":"keyed","group":"zone","give_up_ns":1}]}}"#;
    let config = Config::read(config).unwrap();
    let adapter = EngineAdapter::new(Engine::new(config.settings, 1, 0).unwrap(), config.names);
    let list = r#"{"seq":1,"whole":true,"hosts":[
        {"host":"h0","site":"a","block":3}, {"host":"h1","site":"b","block":3},
        {"host":"h2","site":"c","block":"x"},
        {"host":"h3","site":"b","block":"x"}, {"host":"h4"}, {"host":"h5"}]}"#;
    let Event::EndpointUpdate {
        endpoints: entries, ..
    } = adapter.update_event(&serde_json::from_str(list).unwrap(), ListSource::Discovery)
    else {
        panic!("a list");
    };
    // Which hosts share a zone, and which a cell.
    let pairs = |same: &dyn Fn(&Endpoint, &Endpoint) -> bool| {
        let pairs = (0..entries.len()).flat_map(|a| (a + 1..entries.len()).map(move |b| (a, b)));
        pairs
            .filter(|(a, b)| same(&entries[*a], &entries[*b]))
            .collect::<Vec<_>>()
    };
    assert_eq!(entries[0].zone, 0, "by its place in the settings");
    assert_eq!(pairs(&|a, b| a.zone == b.zone), [(1, 3)], "both in b");
    assert_eq!(pairs(&|a, b| a.cell == b.cell), [(0, 1), (2, 3)]);
}
