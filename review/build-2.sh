#!/bin/sh
# Builds what the scripts of review/6 to review/10 start. Their stand-ins, in review/harness-2, are plain JavaScript that Node runs as
# it is; the programs are those of the build of the deploy file. This checks that all of it can be run.
set -e
cd "$(dirname "$0")/.."
test -f target/bin/galena-edge.js
for file in review/harness-2/*.js review/6/*.js review/7/*.js review/8/*.js review/9/*.js review/10/*.js; do
	test ! -f "$file" || node --check "$file"
done
