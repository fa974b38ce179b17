#!/usr/bin/env bash
# A job of a queue with advice needs more than any worker has; no later job of any such queue starts.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/dotterelgauge review/bin/rig; do
  [ -x "$program" ] || { echo "$program is missing: run the build command of deploy/system.toml and review/build.sh"; exit 2; }
done
exec review/bin/rig advice-order target/dotterelgauge review/4/record.txt
