#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
if [ ! -f target/acaciaflow.jar ] || [ ! -f target/acaciaflow.jsa ] || [ ! -d target/review ]; then
    echo "run the build of deploy/system.toml and review/build.sh first" >&2
    exit 2
fi
timeout --signal=TERM 115 java -Xmx512m -cp target/review EndlessEvent review/4/record.txt
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
