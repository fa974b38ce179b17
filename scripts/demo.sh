#!/usr/bin/env bash
# Runs the whole path on loopback: a stand-in of the platform with eight workers, five instances as processes of their
# own, and callers that hand jobs in, cancel some and ask for all. One instance is killed and one is told to end while
# they do. Ends with 0 only if every promise held, and leaves no process behind.
set -euo pipefail
cd "$(dirname "$0")/.."

bin/soak --seed 1 --time 12s --only kill --only terminate
echo "demo: all promises held"
