#!/usr/bin/env bash
# Builds the stand-ins and drivers of cases 6 to 10 with javac alone, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/src-2/review2/*.java
