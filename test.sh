#!/usr/bin/env bash
# Runs every test with the race detector. Tests listed in KNOWN-RED.txt (one a
# line, "TestName | command and seed | what was seen | issue") are printed and
# passed over; any other failure fails the run.
set -uo pipefail
cd "$(dirname "$0")"
export GOFLAGS="${GOFLAGS:-} -buildvcs=false"
skip=""
if [ -s KNOWN-RED.txt ]; then
  names=$(grep -v '^#' KNOWN-RED.txt | cut -d'|' -f1 | tr -d ' ' | paste -sd'|')
  [ -n "$names" ] && skip="-skip=^(${names})\$" && echo "known red, not run:" && grep -v '^#' KNOWN-RED.txt
fi
exec go test -race -count=1 -timeout 20m ${skip:+"$skip"} ./...
