#!/bin/sh
# Builds what the scripts of review/6 to review/10 start. Their stand-ins, the files review/*-2.js, are plain JavaScript that Node runs as
# it is; the programs are those of the build of the deploy file. This checks that all of it can be run.
set -e
cd "$(dirname "$0")/.."
test -f target/bin/galena-edge.js
for file in review/*-2.js review/6/play.js review/7/play.js review/8/play.js review/9/play.js review/10/play.js; do
	node --check "$file"
done
