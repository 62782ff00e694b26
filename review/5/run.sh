#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
set -u
cd "$(dirname "$0")/../.."
[ -x target/runtime/bin/java ] && [ -d target/review ] || exit 2
exec target/runtime/bin/java -Xmx256m -cp target/review review.CrashingRequest review/5
