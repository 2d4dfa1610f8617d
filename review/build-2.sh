#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They need Go and nothing else: the module
# in review/.stand-2 has no dependencies, so no network is used.
set -euo pipefail
cd "$(dirname "$0")/.stand-2"
go build -o bin/stand2 .
