#!/usr/bin/env bash
# See claim.txt. Exit status: 0 the rule held, 1 it was broken, 2 the case couldn't run.
# TROUBLE=0 leaves the disruption out; the stand-ins read it (Lab.java).
here="$(cd "$(dirname "$0")" && pwd)"
export TROUBLE="${TROUBLE:-1}"
exec bash "$here/../run-case.sh" GuestTeam "$here"
