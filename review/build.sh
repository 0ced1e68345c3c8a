#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review, after the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -cp target/fieldtrestle.jar -d target/review review/stand-ins/*.java
