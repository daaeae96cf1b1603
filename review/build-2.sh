#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS="${GOFLAGS:-} -buildvcs=false"
go build -o target/review-stage2 ./review/stage2
