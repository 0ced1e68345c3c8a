#!/usr/bin/env bash
# See claim.txt. Exit status: 0 the rule held, 1 it was broken, 2 the case couldn't run.
here="$(cd "$(dirname "$0")" && pwd)"
exec bash "$here/../run-case.sh" GuestTeam "$here"
