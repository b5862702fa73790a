#!/usr/bin/env bash
# Builds the programs of the cases into target/review/. They hold the stand-ins, and need g++ and jsoncpp only, as the daemon does.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cpp; do
    number=$(basename "$(dirname "$source")")
    # shellcheck disable=SC2046
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review $(pkg-config --cflags jsoncpp) "$source" -o "target/review/case-$number" $(pkg-config --libs jsoncpp)
done
