#!/usr/bin/env bash
# Runs this case with the stand-ins of review/build.sh and the product's build of the
# deploy file. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/stand ] && [ -x ../../target/boragecrank ] || { echo "not built" >&2; exit 2; }
exec ../bin/stand grey ../../target/boragecrank record.txt
