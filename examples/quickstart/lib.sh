# What the quick starts share: a directory, processes that end with the script, and waiting.
# Sourced from the repository's root.
WORK=$(mktemp -d)
PIDS=()

cleanup() {
  status=$?
  for pid in "${PIDS[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ "$status" -ne 0 ] && [ "$status" -ne "$INTERRUPTED" ]; then
    echo "quickstart failed; the last lines of each log:" >&2
    tail -n 5 "$WORK"/*.log >&2 || true
  fi
  rm -rf "$WORK"
}
INTERRUPTED=130
trap cleanup EXIT
trap 'echo "interrupted: stopping what was started" >&2; exit "$INTERRUPTED"' INT TERM

step() { printf '\n== %s\n' "$1"; }

# wait_until runs a command until it succeeds, for at most 30 s.
wait_until() {
  for _ in $(seq 300); do "$@" >/dev/null 2>&1 && return 0; sleep 0.1; done
  echo "gave up waiting for: $*" >&2
  return 1
}

# start NAME COMMAND... runs a process with its output in a log.
start_process() {
  local name=$1; shift
  "$@" >"$WORK/$name.log" 2>&1 &
  PIDS+=($!)
  eval "PID_${name//-/_}=$!"
}

# logged NAME KEY prints the address that a process's log gives under a key.
wait_for_addr() {
  wait_until grep -q " $2=[0-9]" "$WORK/$1.log" || return 1
  grep -o " $2=[0-9.:]*" "$WORK/$1.log" | head -n 1 | cut -d= -f2
}

# build compiles all commands; BIN is where they are.
BIN=$WORK/bin
build() {
  step "build"
  go build -o "$BIN/" ./cmd/...
}
