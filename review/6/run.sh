#!/usr/bin/env bash
# Plays the case after the build of the deploy file and review/build-2.sh, and writes record.txt in this folder.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/reeldeal.jar ] || [ ! -f target/review-2/review2/SerialReset.class ]; then
  echo "build first: the deploy file's build, then review/build-2.sh" >&2
  exit 2
fi
exec java -Xmx256m -cp target/review-2 review2.SerialReset review/6
