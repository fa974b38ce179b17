#!/usr/bin/env bash
# Runs the whole system on loopback: a simulated platform with eight workers, five instances as separate processes, and
# callers that submit jobs, cancel some and poll all. Under this load, instances are killed and terminated. Exits with 0
# only if no property was violated, and leaves no process running.
set -euo pipefail
cd "$(dirname "$0")/.."

bin/soak --seed 1 --time 12s --only kill --only terminate
echo "demo: no property was violated"
