#!/usr/bin/env bash
# Runs all tests with the race detector, where it works. Tests that KNOWN-RED.txt lists are skipped at first. Then their commands are
# run separately and printed, with the output of those that fail; they don't affect the exit code.
set -euo pipefail
cd "$(dirname "$0")/.."

# The race detector's runtime crashes in this package: the timers of a testing/synctest bubble may run on two threads with one race context.
# On x86-64 one thread at a time prevents that. On arm64 it runs without the detector.
bubbles=github.com/dotterelgauge/dotterelgauge/internal/node

# timeout limits the tests of one package: with the race detector, the replays take seven minutes beside other load.
timeout=20m

# run_tests runs the tests of all packages, with the given flags of go test.
run_tests() {
  go list ./... ./api/... | grep -vx "$bubbles" | xargs go test -race -timeout "$timeout" "$@"
  if [ "$(go env GOHOSTARCH)" = arm64 ]; then
    go test "$@" "$bubbles"
  else
    go test -race -cpu 1 "$@" "$bubbles"
  fi
}

known=$(sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null || true)
if [ -z "$known" ]; then
  run_tests
  exit
fi
skip=$(printf '%s\n' "$known" | sed 's/[^/]*/^&$/g' | paste -sd'|')
run_tests -skip "$skip"
echo "known failures (KNOWN-RED.txt), not counted in the result:"
sed -n 's/^command: //p' KNOWN-RED.txt | sort -u | while IFS= read -r command; do
  echo "+ $command"
  if output=$(bash -c "$command" 2>&1); then
    echo "  passes now: remove its entry from KNOWN-RED.txt"
  else
    printf '%s\n' "$output" | sed 's/^/  /' | head -n 25
  fi
done
