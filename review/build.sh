#!/usr/bin/env bash
# Checks the stand-ins and plays. They are plain JavaScript, so nothing has to be built; the build of the deploy file makes the programs.
set -eu
cd "$(dirname "$0")/.."
for program in galena-edge galena-relay; do
	[ -f "target/bin/$program.js" ] || { echo "target/bin/$program.js is missing: run the build of the deploy file first" >&2; exit 2; }
done
for file in review/*.js review/[1-5]/*.js; do
	node --check "$file"
done
