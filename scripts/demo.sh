#!/usr/bin/env bash
# Installs the packages, builds, starts the emulated services and one host on the loopback
# address, sends a few requests, prints the answers and the decisions, and stops all processes.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD_DIR:-build}"
scripts/install-packages.sh
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" --target catkinwell
catkinwell="$PWD/$build/catkinwell"

work=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap stop EXIT

start() { # Arguments: process name, then the arguments of catkinwell.
  local name=$1
  shift
  "$catkinwell" "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}
await() { # Waits until the URL answers.
  for _ in $(seq 100); do curl -s -o /dev/null "$1" && return 0; sleep 0.1; done
  echo "nothing answers at $1" >&2
  cat "$work"/*.log >&2
  return 1
}

export CATKINWELL_CLUSTER_SECRET="demo-$(openssl rand -hex 16)"
CATKINWELL_ADMIN_TOKEN=$(openssl rand -hex 16)
export CATKINWELL_ADMIN_TOKEN
token_digest=$(printf %s "$CATKINWELL_ADMIN_TOKEN" | sha256sum | cut -d' ' -f1)
admin() { "$catkinwell" admin --address 127.0.0.1:18091 "$@"; }

echo "== Starting a store, two engines, one plain service and one entry host"
start store emulate store --listen 127.0.0.1:18500
start engine-1 emulate engine --listen 127.0.0.1:19001 --load-seconds 1
start engine-2 emulate engine --listen 127.0.0.1:19002 --load-seconds 1 --ignore-fencing
start desk emulate engine --listen 127.0.0.1:19003
cat >"$work/host.json" <<JSON
{ "host": "entry-1", "data_centre": "north-shore",
  "callers": { "listen": "127.0.0.1:18081" },
  "administration": { "listen": "127.0.0.1:18091",
    "credentials": [ { "name": "demo", "token_sha256": "$token_digest", "roles": ["read", "operate", "grant_keys"] } ] },
  "peers": { "listen": "127.0.0.1:18101", "cluster_secret": { "environment": "CATKINWELL_CLUSTER_SECRET" } },
  "store": { "address": "127.0.0.1:18500" } }
JSON
cat >"$work/fleet.json" <<JSON
{ "version": 0,
  "accounts": [ { "id": "crew-leads", "rate_tokens_per_second": 2000, "burst_tokens": 20000 } ],
  "endpoints": [
    { "id": "writer-1", "address": "127.0.0.1:19001", "data_centre": "north-shore", "pool": "notewriter", "memory_bytes": 85899345920 },
    { "id": "writer-2", "address": "127.0.0.1:19002", "data_centre": "north-shore", "pool": "notewriter", "memory_bytes": 85899345920, "fencing": "ignored" },
    { "id": "desk-1", "address": "127.0.0.1:19003", "data_centre": "north-shore", "pool": "rampdesk", "kind": "service" } ],
  "models": [ { "id": "handover-7b", "pool": "notewriter", "memory_bytes": 17179869184, "expected_load_seconds": 1 } ],
  "routes": [ { "path_prefix": "/rampdesk/orders", "pool": "rampdesk", "idempotent": false } ] }
JSON
"$catkinwell" check-config --config "$work/host.json" --fleet "$work/fleet.json"
await http://127.0.0.1:18500/emulator/statistics
start host serve --config "$work/host.json"
host_pid=${pids[-1]}
await http://127.0.0.1:18081/healthz

echo
echo "== Accepting a fleet configuration and granting a key"
admin configuration apply "$work/fleet.json" --reason "first configuration of the demo" --yes
key=$(admin --json key grant --account crew-leads --label demo --reason "key for the demo" | sed -n 's/.*"key": *"\([^"]*\)".*/\1/p')
authorization="Authorization: Bearer $key"
# The host acquires its share of a new account's rate within seconds.
sleep 3

echo
echo "== A request for a model that is loaded nowhere (its load takes 1 s)"
curl -s -w '\n-> status %{http_code} after %{time_total} s\n' -H "$authorization" \
  -d '{"model":"handover-7b","prompt":"Shift log: hinge 4 dry","max_tokens":6}' http://127.0.0.1:18081/v1/completions

echo
echo "== The same model, streamed"
curl -sN -H "$authorization" -d '{"model":"handover-7b","prompt":"Shift log","max_tokens":3,"stream":true}' \
  http://127.0.0.1:18081/v1/completions

echo "== An order with an idempotency key, sent twice: it runs once"
for attempt in first second; do
  echo "$attempt:"
  curl -s -D - -H "$authorization" -H 'Idempotency-Key: grease-4711' -d 'grease for hinge 4' \
    http://127.0.0.1:18081/rampdesk/orders | grep -iE '^HTTP|^Idempotent|execution'
  echo
done

echo "== A request with an unknown key is refused"
curl -s -w '\n-> status %{http_code}\n' -H 'Authorization: Bearer wrong-key' -d '{}' http://127.0.0.1:18081/v1/completions

echo
echo "== Stopping the host; it finishes what runs and exits with 0"
kill -TERM "$host_pid"
wait "$host_pid"

echo
echo "== The decisions that led to these answers (numbered events, docs/log-events.md)"
grep -E '"name":"(load_decided|placement_command_sent|placement_command_settled|endpoint_chosen|claim_decided|request_refused|share_changed|shutdown_finished)"' "$work/host.log"
echo
echo "The demo is complete."
