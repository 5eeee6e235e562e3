//! Numbers of zones and cells that are in the settings, and of those that are not.

use super::*;
use crate::config::Config;

#[test]
fn zones_and_cells_outside_the_settings_get_different_numbers() {
    let config = r#"{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{"areas":["a"],
        "profiles":[{"name":"put","repeat":"keyed","group":"zone","give_up_ns":1}]}}"#;
    let config = Config::read(config).unwrap();
    let adapter = EngineAdapter::new(Engine::new(config.settings, 1, 0).unwrap(), config.names);
    let list = r#"{"seq":1,"whole":true,"hosts":[
        {"host":"h0","site":"a","block":3}, {"host":"h1","site":"b","block":3},
        {"host":"h2","site":"c","block":"x"},
        {"host":"h3","site":"b","block":"x"}, {"host":"h4"}, {"host":"h5"}]}"#;
    let Event::EndpointUpdate { endpoints, .. } =
        adapter.update_event(&serde_json::from_str(list).unwrap(), ListSource::Discovery)
    else {
        panic!("expected an endpoint update");
    };
    // Index pairs of the endpoints that share a property.
    let pairs = |same: &dyn Fn(&Endpoint, &Endpoint) -> bool| {
        let count = endpoints.len();
        let pairs = (0..count).flat_map(|a| (a + 1..count).map(move |b| (a, b)));
        pairs
            .filter(|(a, b)| same(&endpoints[*a], &endpoints[*b]))
            .collect::<Vec<_>>()
    };
    assert_eq!(endpoints[0].zone, 0, "the zone's index in the settings");
    assert_eq!(
        pairs(&|a, b| a.zone == b.zone),
        [(1, 3)],
        "the endpoints in zone b"
    );
    assert_eq!(pairs(&|a, b| a.cell == b.cell), [(0, 1), (2, 3)]);
}
