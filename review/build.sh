#!/usr/bin/env bash
# Compiles the stand-ins and the cases' drivers with the JDK that the build needs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -encoding UTF-8 -Xlint:all -d target/review review/standins/*.java $(find review -path "review/[1-5]/*.java")
