#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review into target/review-2, after the build of
# the deploy file. It needs the JDK and the project's jar, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -d target/review-2 -cp target/fieldtrestle.jar review/stand-ins-2/*.java
