#!/usr/bin/env bash
# Runs the whole path on loopback for both sample deployments: stand-ins of the platform, four instances
# in two data centres, requests and gang jobs through all of them, while one instance is killed and one
# is drained. Ends with 0 only if every answer was right, and leaves no process behind.
set -euo pipefail
cd "$(dirname "$0")/.."

work=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT

ctl=bin/dotterelctl
operator_token=operator-token-of-the-demo

# settings NUMBER DATA_CENTRE PRESET ACCOUNT writes the settings of one instance.
settings() {
  cat > "$work/i$1.toml" <<TOML
name = "i$1"
data_centre = "$2"
[addresses]
callers = "127.0.0.1:2810$1"
operators = "127.0.0.1:2820$1"
peers = "127.0.0.1:2830$1"
[platform]
log = "127.0.0.1:28000"
instance_list = "127.0.0.1:28001"
[peers]
secret = "secret-of-the-demo-peers"
[operator]
token = "$operator_token"
[objective]
preset = "$3"
[leases]
term_ms = 3000
[[callers]]
account = "$4"
token = "caller-token-of-the-demo"
TOML
}

# ready NUMBER waits until the instance is ready.
ready() {
  for _ in $(seq 100); do
    if $ctl status --operators "127.0.0.1:2820$1" --token "$operator_token" 2>/dev/null | grep -q "ready true"; then return; fi
    sleep 0.1
  done
  echo "instance i$1 does not become ready:"; cat "$work/i$1.log"; exit 1
}

# deployment NAME ACCOUNT FIRST_DATA_CENTRE SECOND_DATA_CENTRE runs one deployment.
deployment() {
  echo "== $1"
  pids=()
  $ctl standin --base-port 28000 --workers 6 --workers-per-rack 3 --data-centres "$3,$4" \
    --instance "i1,$3,127.0.0.1:28301" --instance "i2,$3,127.0.0.1:28302" \
    --instance "i3,$4,127.0.0.1:28303" --instance "i4,$4,127.0.0.1:28304" > "$work/standin.log" 2>&1 &
  pids+=($!)
  settings 1 "$3" "$1" "$2"
  settings 2 "$3" "$1" "$2"
  settings 3 "$4" "$1" "$2"
  settings 4 "$4" "$1" "$2"
  for i in 1 2 3 4; do
    bin/dotterelgauge run --settings "$work/i$i.toml" 2> "$work/i$i.log" &
    pids+=($!)
  done
  for i in 1 2 3 4; do ready $i; done
  $ctl sheet apply "examples/$1/sheet.csv" --base 0 --actor demo --reason "the morning sheet" --wait \
    --operators 127.0.0.1:28201 --token "$operator_token"
  # Kill the third instance and drain the second while requests run.
  ( sleep 3; kill -KILL "${pids[3]}"; sleep 2; kill -TERM "${pids[2]}" ) 2>/dev/null &
  if ! $ctl trial --callers 127.0.0.1:28101,127.0.0.1:28102,127.0.0.1:28103,127.0.0.1:28104 \
      --token caller-token-of-the-demo --requests 240 --per-second 24 --jobs 4 \
      --list 127.0.0.1:28001; then
    tail -n 20 "$work"/i*.log
    exit 1
  fi
  if ! wait "${pids[2]}"; then echo "the drained instance did not end with 0"; tail -n 20 "$work/i2.log"; exit 1; fi
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}

deployment lounge Settlement perth-1 perth-2
deployment gallery Empacotamento caxias-do-sul porto-alegre
echo "demo: all answers right"
