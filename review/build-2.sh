#!/bin/sh
# Builds the stand-ins of the cases in review/6 and later into build/review-2. Nothing but a C++ compiler is needed.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/*/case.cpp; do
    case=$(basename "$(dirname "$source")")
    ${CXX:-c++} -std=c++20 -O1 -Wall -Wextra -pthread -o "build/review-2/case_$case" "$source"
done
