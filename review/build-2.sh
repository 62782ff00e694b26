#!/bin/sh
# Compiles the stand-ins of the cases of this review into target/review-2, with javac alone.
set -eu
cd "$(dirname "$0")/.."
home=$(tools/find-jdk)
rm -rf target/review-2
mkdir -p target/review-2
find review/common-2 review/6 review/7 review/8 review/9 review/10 -name '*.java' 2>/dev/null \
    | xargs "$home/bin/javac" -d target/review-2
