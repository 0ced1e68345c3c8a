#!/usr/bin/env bash
# Runs this case after the build of the deploy file and review/build-2.sh; see claim.txt.
exec "$(dirname "$0")/../run-case-2.sh" "$(dirname "$0")" SlowOnce
