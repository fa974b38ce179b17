#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. Needs the Go toolchain only; the program under test comes from the build command
# of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/rig"
GOWORK=off GOFLAGS=-mod=mod go build -buildvcs=false -o ../bin/rig .
