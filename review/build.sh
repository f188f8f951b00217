#!/bin/bash
# Builds the stand-ins of the review's cases into build/review, with the compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
for source in review/stand_ins/*.cpp; do
    program=build/review/$(basename "$source" .cpp)
    if [ ! -x "$program" ] || [ "$source" -nt "$program" ] || [ review/stand_ins/stand_ins.h -nt "$program" ]; then
        ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread -o "$program" "$source"
    fi
done
