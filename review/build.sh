#!/bin/sh
# Builds the stand-ins of all cases into target/review, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
home=$(tools/find-jdk)
rm -rf target/review
mkdir -p target/review
"$home/bin/javac" -nowarn -d target/review $(find review -name '*.java' -path '*/platform/*')
