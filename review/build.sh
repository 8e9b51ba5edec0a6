#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases with javac alone, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -nowarn -d target/review review/src/review/*.java
