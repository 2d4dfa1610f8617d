#!/usr/bin/env bash
# Starts a small deployment on the loopback interface, serves one booking, runs
# one batch task and a two-step job, prints the results and stops all processes
# gracefully. With KEEP=1 the deployment keeps running. Exits with a non-zero
# status if anything fails.
set -euo pipefail
cd "$(dirname "$0")/.."

bin=$PWD/bin/boragecrank
settings=examples/local/settings
logs=$(mktemp -d)
entries=(http://127.30.0.1:8081 http://127.30.0.2:8081)
caller=http://127.30.0.1:8080
export BORAGECRANK_SHARED_KEY=${BORAGECRANK_SHARED_KEY:-local-shared-key-not-for-production-0000}
export BORAGECRANK_OPERATORS_TOKEN=${BORAGECRANK_OPERATORS_TOKEN:-local-operators-token-not-for-production}
export BORAGECRANK_ENTRY=${entries[0]},${entries[1]}

names=()
pids=()
start() { # name, arguments...
  local name=$1
  shift
  "$bin" "$@" >"$logs/$name.out" 2>"$logs/$name.log" &
  names+=("$name")
  pids+=($!)
}

# Stops the upstreams first, then the workers, the entries and the platform, and
# reports processes that did not exit with status 0.
stop_all() {
  local failed=0 i
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill -TERM "${pids[i]}" 2>/dev/null || true
    if ! wait "${pids[i]}"; then
      echo "process ${names[i]} did not exit with status 0; the last lines of its log:" >&2
      tail -5 "$logs/${names[i]}.log" >&2
      failed=1
    fi
  done
  pids=()
  return $failed
}

fail() {
  echo "FAILED: $1; logs are in $logs" >&2
  stop_all || true
  exit 1
}
trap 'fail "interrupted or a command failed at line $LINENO"' ERR INT TERM

wait_for() { # description, command...
  local what=$1 i
  shift
  for ((i = 0; i < 150; i++)); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  fail "$what: no success in 150 attempts"
}

start platform dev platform --listen 127.30.0.100:9000
wait_for "stand-in platform" curl -fsS http://127.30.0.100:9000/admin/witness
start entry-1 entry --settings $settings/entry-1.toml
start entry-2 entry --settings $settings/entry-2.toml
for entry in "${entries[@]}"; do
  wait_for "entry at $entry" curl -fsS "$entry/healthz"
done

echo "== applying the inventory and rules"
"$bin" apply examples/local/inventory

start gent-01 worker --settings $settings/gent-01.toml
start brugge-01 worker --settings $settings/brugge-01.toml
start leuven-01 worker --settings $settings/leuven-01.toml
for i in 1 2 3; do
  wait_for "worker $i" curl -fsS "http://127.30.$i.1:7002/readyz"
  start "upstream-$i" dev upstream --listen "127.30.$i.1:8000" --worker "127.30.$i.1:7002" --service berth-check
done

echo "== booking a berth: caller -> entry -> worker -> upstream"
book() {
  curl -fsS -D "$logs/headers" -o "$logs/booking" -X POST -H 'Content-Type: application/json' \
    -H 'Idempotency-Key: booking-1' -d '{"id":"booking-1","size":200}' \
    "$caller/v1/services/berth-check/bookings"
}
wait_for "booking" book
grep -i '^boragecrank-' "$logs/headers"
head -c 200 "$logs/booking"
echo

# An upstream that ran the booking more than once counts as 2, so that the check
# fails.
runs=0
for i in 1 2 3; do
  record=$(curl -fsS "http://127.30.$i.1:8000/record")
  echo "upstream $i ran: $record"
  if [[ $record == *'"booking-1":1'* ]]; then runs=$((runs + 1)); elif [[ $record == *booking-1* ]]; then runs=$((runs + 2)); fi
done
[[ $runs == 1 ]] || fail "the booking ran $runs times, want once"

echo "== running a batch task: submitted, placed, started under a lease, done"
timeout 60 "$bin" submit night-allocation --id night-1 --wait
"$bin" jobs night-1
"$bin" config

echo "== running a two-step job: separate entry and agent processes on a simulated platform"
timeout 60 go run ./internal/faultsoak/cmd -binary "$bin" -entries 2 -workers 2 -faults 0 -jobs 1

if [[ ${KEEP:-0} == 1 ]]; then
  # The processes keep running after the script has exited.
  trap - ERR
  cat <<EOF

The deployment keeps running (logs in $logs). Try:
  export BORAGECRANK_OPERATORS_TOKEN=$BORAGECRANK_OPERATORS_TOKEN
  export BORAGECRANK_ENTRY=$BORAGECRANK_ENTRY
  curl -i -X POST -H 'Idempotency-Key: b2' -d '{"id":"b2"}' $caller/v1/services/berth-check/bookings
  bin/boragecrank status
  bin/boragecrank submit night-allocation --id night-2 --wait
  bin/boragecrank drain gent-01
Stop it with: kill ${pids[*]}
EOF
  exit 0
fi

echo "== stopping gracefully"
trap - ERR
stop_all || exit 1
rm -rf "$logs"
echo "== done: one booking served once, one batch task and one two-step job done, all processes stopped"
