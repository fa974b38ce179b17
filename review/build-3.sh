#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. It needs Go and no network; run it after the build command of deploy/system.toml.
set -e
cd "$(dirname "$0")/rig3"
CGO_ENABLED=0 GOWORK=off GOFLAGS=-buildvcs=false go build -o bin/rig3 .
