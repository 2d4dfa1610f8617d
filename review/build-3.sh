#!/usr/bin/env bash
# Builds the program of the scripted cases of the third review, with its stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-3 ./review/stand-3
