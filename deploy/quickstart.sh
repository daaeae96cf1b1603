#!/usr/bin/env bash
# Runs a small complete system in its managed form on loopback addresses: the stand-in for
# the managed platform with sixteen VMs in two domains and a plain service, and two
# nodes. Sends a stream and an unsafe call through them, prints the operator's view and
# stops a node in the middle of a stream. Ctrl-C stops all processes.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS="${GOFLAGS:-} -buildvcs=false"
source examples/quickstart/lib.sh

build

step "start the platform with its backend servers"
start_process platform "$BIN/fennel-standin" managed --listen 127.0.0.1:0
STORE=$(wait_for_addr platform addr)

step "start two nodes"
CALLERS=()
ADMIN=()
for i in 0 1; do
  cat >"$WORK/node-$i.yaml" <<YAML
node: node-$i
zone: zone-$i
region: here
listen: {callers: "127.0.0.1:0", ready: "127.0.0.1:0", metrics: "127.0.0.1:0"}
platform: {driver: managed, address: "$STORE"}
retries: {ratio: 0.2, slack: 100}
process: {first_start: true, grace: 8s}
drain: {notice: 300ms}
YAML
  "$BIN/fenneld" --settings "$WORK/node-$i.yaml" --check-settings
  start_process "node-$i" "$BIN/fenneld" --settings "$WORK/node-$i.yaml"
  CALLERS+=("http://$(wait_for_addr "node-$i" callers)")
  ADMIN+=("http://$(wait_for_addr "node-$i" inside)")
done

call() { # URL ID [curl arguments]: sends one request as a caller
  local url=$1 id=$2; shift 2
  curl -sfN "$url" -H 'Host: a.example' -H 'Authorization: Token k1' -H "X-Attempt-Id: $id" -H 'X-Deadline-Ms: 8000' "$@"
}
stream() { call "$1/advice/boots" "$2" -H 'X-Model: m3' -H 'X-Token-Counts: 100,56' -d '{"question":"cold toes"}'; }

step "wait for replicas and send a stream through each node"
for i in 0 1; do
  wait_until stream "${CALLERS[$i]}" "try-$i-$RANDOM"
  stream "${CALLERS[$i]}" "stream-$i"
done

step "send an unsafe call"
call "${CALLERS[0]}/pay/7" pay-1 -d '{"amount":40}'
echo

step "print the operator's view"
export FENNELCTL_SERVER=${ADMIN[0]}
"$BIN/fennelctl" status
"$BIN/fennelctl" rules show
"$BIN/fennelctl" explain --path a.example/advice/boots --model m3

step "planned stop of node 0 during a stream: the stream is completed"
stream "${CALLERS[0]}" last >"$WORK/stream" &
STREAM=$!
PIDS+=("$STREAM")
wait_until grep -q id: "$WORK/stream"
kill -TERM "$PID_node_0"
wait "$STREAM"
wait "$PID_node_0" && echo "node 0 ended with status 0"
grep -c '^id:' "$WORK/stream" | sed 's/$/ events received/'

step "done"
