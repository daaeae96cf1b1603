#!/usr/bin/env bash
# Builds the stand-ins that the cases' scripts start. The daemon itself is built as deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS="${GOFLAGS:-} -buildvcs=false"
go build -o target/review-stage ./review/stage
