#!/usr/bin/env bash
# Builds the stand-ins of the second review: one program, which plays every case that is a script.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/rig ./review/rig2
