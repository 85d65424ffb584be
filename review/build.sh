#!/usr/bin/env bash
# Builds the stand-ins of the review cases into target/review; needs only what the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]*/case.cpp; do
  name="$(basename "$(dirname "$source")")"
  g++ -std=c++20 -O1 -pthread -Wall -Wextra -I review/standins "$source" -o "target/review/case-$name"
done
