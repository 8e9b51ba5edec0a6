#!/usr/bin/env bash
# Plays the case after the build of the deploy file and review/build.sh, and writes to record.txt in this
# folder what was sent, answered and run. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
record=review/1/record.txt
if [ ! -f target/reeldeal.jar ] || [ ! -f target/review/review/BusyDay.class ]; then
  echo "build first: the deploy file's build, then review/build.sh" >&2
  exit 2
fi
exec java -Xmx256m -cp target/review review.BusyDay "$record"
