#!/usr/bin/env bash
# Measures the overhead of one host per request: starts a store, one engine that answers at once and one
# host on the loopback address, and sends the same load to the engine and through the host in turn.
# Usage: scripts/measure-host.sh [build folder]
set -euo pipefail
cd "$(dirname "$0")/.."
ulimit -n 65536 2>/dev/null || ulimit -n "$(ulimit -Hn)"
catkinwell="$PWD/${1:-build}/catkinwell"
work=$(mktemp -d)
pids=()
trap 'for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done; wait 2>/dev/null || true; rm -rf "$work"' EXIT
start() { local name=$1; shift; "$catkinwell" "$@" >"$work/$name.log" 2>&1 & pids+=($!); }
await() { for _ in $(seq 100); do curl -s -o /dev/null "$1" && return 0; sleep 0.1; done; return 1; }

export CATKINWELL_CLUSTER_SECRET=secret-for-measurements-only CATKINWELL_KEY=ck-measure-0123456789
export CATKINWELL_ADMIN_TOKEN=token-for-measurements
digest() { printf %s "$1" | sha256sum | cut -d' ' -f1; }
start store emulate store --listen 127.0.0.1:28500
start engine emulate engine --listen 127.0.0.1:29001 --capacity 20000 --first-token-ms 0 --token-ms 0
start paced emulate engine --listen 127.0.0.1:29002 --capacity 20000 --first-token-ms 0 --token-ms 1000
cat >"$work/host.json" <<JSON
{ "host": "h", "data_centre": "d", "callers": { "listen": "127.0.0.1:28081" },
  "administration": { "listen": "127.0.0.1:28091", "credentials": [ { "name": "m", "token_sha256": "$(digest "$CATKINWELL_ADMIN_TOKEN")", "roles": ["read", "operate", "grant_keys"] } ] },
  "peers": { "listen": "127.0.0.1:28101", "cluster_secret": { "environment": "CATKINWELL_CLUSTER_SECRET" } },
  "store": { "address": "127.0.0.1:28500" }, "log": { "severity": "warning" } }
JSON
cat >"$work/fleet.json" <<JSON
{ "accounts": [ { "id": "a", "rate_tokens_per_second": 100000000, "burst_tokens": 1000000000 } ],
  "keys": [ { "sha256": "$(digest "$CATKINWELL_KEY")", "account": "a", "label": "measure" } ],
  "defaults": { "maximum_queued_per_account_and_model": 100000, "maximum_queued_per_host": 100000 },
  "endpoints": [
    { "id": "e", "address": "127.0.0.1:29001", "data_centre": "d", "pool": "p", "memory_bytes": 1000000000, "capacity_requests": 20000 },
    { "id": "q", "address": "127.0.0.1:29002", "data_centre": "d", "pool": "q", "memory_bytes": 1000000000, "capacity_requests": 20000 } ],
  "models": [ { "id": "m", "pool": "p", "memory_bytes": 1000, "expected_load_seconds": 2, "minimum_replicas": 1 },
              { "id": "slow", "pool": "q", "memory_bytes": 1000, "expected_load_seconds": 2, "minimum_replicas": 1 } ] }
JSON
await http://127.0.0.1:28500/emulator/statistics
start host serve --config "$work/host.json"
host=${pids[-1]}
await http://127.0.0.1:28081/healthz
"$catkinwell" admin --address 127.0.0.1:28091 configuration apply "$work/fleet.json" --reason "measurement run" --yes >/dev/null
# Allows time for the loads of both models and for acquiring the share of the new account's rate.
sleep 8

cpu() { awk '{ print ($14 + $15) * 1000 / '"$(getconf CLK_TCK)"' }' "/proc/$host/stat"; }
memory() { awk '/VmRSS/ { print $2 }' "/proc/$host/status"; }
field() { tr -d '\n ' <"$1" | sed -n "s/.*\"$2\":{\"count\":[0-9]*,\"max\":\([0-9.e+-]*\),\"p50\":\([0-9.e+-]*\),\"p95\":\([0-9.e+-]*\),\"p99\":\([0-9.e+-]*\)}.*/\2 \4/p"; }
scalar() { tr -d '\n ' <"$1" | sed -n "s/.*\"$2\":\([0-9.e+-]*\).*/\1/p"; }
run() { # Arguments: title, port, model, further options.
  local title=$1 port=$2 model=$3; shift 3
  local before after
  before=$(cpu)
  "$catkinwell" load --target "127.0.0.1:$port" --model "$model" "$@" >"$work/result.json" || true
  after=$(cpu)
  printf '%-34s p50/p99 ms %-22s req/s %-10.0f tok/s %-10.0f host cpu ms/req %.4f failed %s\n' "$title" \
    "$(field "$work/result.json" latency_ms)" "$(scalar "$work/result.json" requests_per_second)" \
    "$(scalar "$work/result.json" tokens_per_second)" \
    "$(awk "BEGIN { print ($after - $before) / ($(scalar "$work/result.json" completed) + 0.0001) }")" \
    "$(scalar "$work/result.json" failed)"
}
for round in 1 2 3; do
  echo "-- round $round"
  run "whole, direct, 1 at a time" 29001 m --requests 3000 --concurrency 1
  run "whole, through the host" 28081 m --requests 3000 --concurrency 1
  run "streamed, direct, 1 at a time" 29001 m --requests 2000 --concurrency 1 --stream
  run "streamed, through the host" 28081 m --requests 2000 --concurrency 1 --stream
  run "whole, direct, 64 at a time" 29001 m --requests 30000 --concurrency 64 --max-tokens 4
  run "whole, host, 64 at a time" 28081 m --requests 30000 --concurrency 64 --max-tokens 4
  run "streams of 100 tokens, direct" 29001 m --requests 2000 --concurrency 64 --stream --max-tokens 100
  run "streams of 100 tokens, host" 28081 m --requests 2000 --concurrency 64 --stream --max-tokens 100
done
echo "-- memory of the host with open streams (one token a second)"
for streams in 1 1000 5000; do
  before=$(memory)
  "$catkinwell" load --target 127.0.0.1:28081 --model slow --requests "$streams" --concurrency "$streams" --stream --max-tokens 12 >"$work/open.json" &
  load=$!
  sleep 6
  during=$(memory)
  wait "$load" || true
  echo "streams $streams: resident before $before KB, with them $during KB, $(awk "BEGIN { printf \"%.1f\", ($during - $before) / $streams }") KB each, completed $(scalar "$work/open.json" completed)"
done
