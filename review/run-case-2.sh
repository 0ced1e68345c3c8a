#!/usr/bin/env bash
# Runs one case: run-case-2.sh FOLDER CLASS. Exits with 1 if the rule was broken, 0 if it held, and
# 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
folder=$(cd "$1" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
[ -f target/fieldtrestle.jar ] && [ -d target/review-2 ] || { echo "build first" >&2; exit 2; }
exec java -Dsun.net.httpserver.nodelay=true -cp target/review-2:target/fieldtrestle.jar "$2" "$folder"
