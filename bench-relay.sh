#!/usr/bin/env bash
# Measure the relay of one daemon: bench-relay.sh loop|threads [streams]
set -eu
cd "$(dirname "$0")"
relay=${1:-loop}
streams=${2:-50,150,300,450}
tokens=${3:-274}
bin=.venv/bin
work=$(mktemp -d)
pids=""
trap 'kill $pids 2>/dev/null || true; sleep 1; kill -9 $pids 2>/dev/null || true; rm -rf "$work"' EXIT
"$bin/python" -m tanagertrail.objectapi.server --port 9090 >"$work/platform.log" 2>&1 &
pids="$pids $!"
"$bin/tanagertrail-bench" upstreams >"$work/upstreams.log" 2>&1 &
pids="$pids $!"
cat >"$work/entry.ini" <<INI
[daemon]
name = entry-1
failure_domain = bench
[callers]
port = 9001
threads = 500
relay = $relay
[operators]
port = 9002
[daemons]
port = 9003
[platform]
address = 127.0.0.1:9090
INI
sleep 2
"$bin/tanagertraild" --settings "$work/entry.ini" >"$work/daemon.log" 2>&1 &
daemon=$!
pids="$pids $daemon"
sleep 3
"$bin/tanagertrail-bench" ticket >"$work/ticket.json"
"$bin/tanagertrail" ticket apply "$work/ticket.json" --address 127.0.0.1:9002 --wait
sleep 2
echo "address questions"
[ "$relay" = threads ] || "$bin/tanagertrail-bench" questions 127.0.0.1:9001 --pid "$daemon"
echo "relay $relay, through the daemon"
"$bin/tanagertrail-bench" streams 127.0.0.1:9001 --streams "$streams" --tokens "$tokens" --rounds 4 --pid "$daemon"
