# Shared by the quick-start scripts: a temporary directory, background processes that are stopped
# when the script exits, and functions that wait. Must be sourced from the repository's root.
WORK=$(mktemp -d)
PIDS=()

cleanup() {
  status=$?
  for pid in "${PIDS[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ "$status" -ne 0 ] && [ "$status" -ne "$INTERRUPTED" ]; then
    echo "quickstart failed; the last lines of each log file:" >&2
    tail -n 5 "$WORK"/*.log >&2 || true
  fi
  rm -rf "$WORK"
}
INTERRUPTED=130
trap cleanup EXIT
trap 'echo "interrupted: stopping all processes" >&2; exit "$INTERRUPTED"' INT TERM

step() { printf '\n== %s\n' "$1"; }

# wait_until COMMAND... repeats a command until it succeeds, for at most 30 s.
wait_until() {
  for _ in $(seq 300); do "$@" >/dev/null 2>&1 && return 0; sleep 0.1; done
  echo "timed out waiting for: $*" >&2
  return 1
}

# start_process NAME COMMAND... starts a background process, with its output in NAME.log and its
# process ID in PID_NAME.
start_process() {
  local name=$1; shift
  "$@" >"$WORK/$name.log" 2>&1 &
  PIDS+=($!)
  eval "PID_${name//-/_}=$!"
}

# wait_for_addr NAME KEY waits until the log of process NAME has an address under KEY and prints
# it.
wait_for_addr() {
  wait_until grep -q " $2=[0-9]" "$WORK/$1.log" || return 1
  grep -o " $2=[0-9.:]*" "$WORK/$1.log" | head -n 1 | cut -d= -f2
}

# build compiles all commands into BIN.
BIN=$WORK/bin
build() {
  step "build"
  go build -o "$BIN/" ./cmd/...
}
