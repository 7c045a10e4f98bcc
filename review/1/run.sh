#!/bin/sh
# Runs the case; TROUBLE=0 leaves the disruption out. Exit code: 1 broken, 0 held, 2 can't run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/release/review-stand-in
if [ ! -x "$program" ] || [ ! -x target/release/hyssop-edge ]; then
    echo "run the build of the deploy file and review/build.sh first" >&2
    exit 2
fi
exec "$program" past review/1/record.txt
