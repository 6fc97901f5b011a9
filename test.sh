#!/usr/bin/env bash
# The whole test run: vet, build, every test with the race detector, and a
# short run of real processes in both shapes. Tests that KNOWN-RED.txt lists are
# named and passed over when they fail, nothing else.
set -eu
cd "$(dirname "$0")"
export CGO_ENABLED=1
test -z "$(gofmt -l cmd internal platform)" || { echo "gofmt: $(gofmt -l cmd internal platform)"; exit 1; }
go vet ./...
# staticcheck is a tool of go.mod; nothing is excluded.
go tool staticcheck ./...
go build -o bin/ ./cmd/...
run() { { go test -json "$@" || echo '{"Action":"exit"}'; } | bin/known KNOWN-RED.txt; }
# The race detector's own runtime ends simulated runs where many processors run their
# goroutines at once: by a failed check of its own (tsan_rtl.cpp, exit code 66, seen
# with 6 and 16 processors), and by a crash in its table of stacks
# (StackDepotBase::Put), which grows for as long as a process runs. So the simulator
# runs in as many processes as there are shards, each on one processor.
others=$(go list ./... | grep -v '/internal/sim$')
GOMAXPROCS=6 run -race -short -p 8 -timeout 15m $others
shards=8
simulated=$(go test -race -short -list . ./internal/sim | grep '^Test')
test -n "$simulated" || { echo "no simulated runs"; exit 1; }
running=()
for shard in $(seq 0 $((shards - 1))); do
	names=$(echo "$simulated" | awk -v shard="$shard" -v shards="$shards" 'NR % shards == shard' | paste -sd'|')
	GOMAXPROCS=1 run -race -short -timeout 15m -run "^($names)\$" ./internal/sim &
	running+=($!)
done
failed=0
for shard in "${running[@]}"; do
	wait "$shard" || failed=1
done
test "$failed" = 0
# The heaviest simulated runs go without the race detector, which would make
# minutes of them.
run -count=1 -timeout 10m ./internal/sim
# Real processes want the machine for themselves.
PUFFIN_FLEET=1 run -count=1 -timeout 5m -run RealFleet ./internal/fleetrun
PUFFIN_FLEET=1 run -count=1 -timeout 5m -run Soak ./internal/fleetrun/soak
