#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into review/bin/.
set -eu
cd "$(dirname "$0")/.."
for n in 4; do
	go build -o "review/bin/case-$n" "./review/$n/run"
done
