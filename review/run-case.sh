#!/usr/bin/env bash
# Runs a case: run-case.sh CLASS FOLDER. Exit status: 0 the rule held, 1 it was broken, 2 the case
# couldn't run. TROUBLE=0 leaves the disruption out. KEEP=1 keeps the logs and prints their folder.
# Where the events could not be brought about, it plays anew as long as the 120 s allow.
set -uo pipefail
folder="$(cd "$2" && pwd)"
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
work="$(mktemp -d)" || exit 2
if [ "${KEEP:-0}" = 1 ]; then echo "logs: $work"; else trap 'rm -rf "$work"' EXIT; fi
[ -f target/review/review/Lab.class ] || { echo "run review/build.sh first" >&2; exit 2; }
status=2
while [ "$status" -ne 0 ] && [ "$status" -ne 1 ] && [ "$SECONDS" -lt 60 ]; do
  timeout --foreground -k 2 "$((112 - SECONDS))" java -Xmx256m \
    -Dsun.net.httpserver.nodelay=true -Djdk.httpclient.keepalive.timeout=10 \
    -cp target/review:target/fieldtrestle.jar "review.$1" "$folder" "$work"
  status=$?
done
[ "$status" -le 1 ] || status=2
exit "$status"
