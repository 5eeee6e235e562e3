#!/bin/sh
# Starts a fleet of three balancers with toy caches and a toy discovery service. Ctrl-C stops all.
# Run `cargo build --release --workspace --all-targets` first, then `sh examples/fleet/start.sh`.
cd "$(dirname "$0")/../.." || exit 1
target/release/examples/toy_server < /dev/null &
for n in 1 2 3; do
    GW_CONFIG=examples/fleet/n$n.json target/release/pipitrun &
done
trap 'trap - INT TERM; kill 0' INT TERM
echo "Fleet as seen by the first balancer: curl -s http://127.0.0.1:9001/admin/fleet"
wait
