#!/usr/bin/env bash
# Runs every test with the race detector. Tests listed in KNOWN-RED.txt (one a
# line, "TestName | command and seed | what was seen | issue") run by themselves
# afterwards: their outcome is printed and does not count. Any other failure fails
# the run.
set -uo pipefail
cd "$(dirname "$0")"
export GOFLAGS="${GOFLAGS:-} -buildvcs=false"
names=""
if [ -s KNOWN-RED.txt ]; then
  names=$(grep -v '^#' KNOWN-RED.txt | cut -d'|' -f1 | tr -d ' ' | paste -sd'|')
fi
go test -race -count=1 -timeout 20m ${names:+"-skip=^(${names})\$"} ./...
result=$?
if [ -n "$names" ]; then
  echo "known red, outcome does not count:"
  grep -v '^#' KNOWN-RED.txt
  go test -race -count=1 -timeout 5m -v -run "^(${names})\$" ./... 2>&1 | grep -E '^--- ' | sed 's/^--- /known red /'
fi
exit $result
