#!/usr/bin/env bash
# Builds every stand-in that a script of a case starts, into review/bin/.
set -eu
cd "$(dirname "$0")/.."
for folder in review/*/run; do
	go build -o "review/bin/case-$(basename "$(dirname "$folder")")" "./$folder"
done
