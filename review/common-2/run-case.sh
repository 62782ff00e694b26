#!/bin/sh
# Runs the program of a case: run-case.sh FOLDER CLASS [ARGUMENT ...]
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# DESCRIPTORS: descriptors that the clients of the case need.
here=$1
class=$2
shift 2
root=$(cd "$(dirname "$0")/../.." && pwd)
cd "$root" || exit 2
home=$(tools/find-jdk) || exit 2
if [ ! -d target/review-2 ] || [ ! -f target/kumquatweir.jar ]; then
    echo "build first: deploy/build and review/build-2.sh" >&2
    exit 2
fi
# An entry instance has 8,200 descriptors.
ulimit -n 8200 2>/dev/null || ulimit -n "$(ulimit -H -n)"
if [ "$(ulimit -n)" -lt "${DESCRIPTORS:-256}" ]; then
    echo "the limit of descriptors is too low: $(ulimit -n)" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout 115 "$home/bin/java" -Xmx512m -cp target/review-2 "$class" \
    "$root" "$here" "$folder" "${TROUBLE:-1}" "$@"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
