#!/usr/bin/env bash
# Builds the stand-ins of the cases review/4 to review/8, after the build of deploy/service.toml.
# The sources are named trial.cpp: review/build.sh builds each case.cpp with other stand-ins.
# Needs g++, rapidjson and http-parser, as the program itself; src/net serves as their HTTP library.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O2 -Wall -Wextra -Isrc -Ireview/standins-2)
objects=()
for source in callback event_loop http_client http_parsers http_server socket; do
  [ -f "src/net/$source.cpp" ] || continue
  g++ "${flags[@]}" -c "src/net/$source.cpp" -o "$out/$source.o"
  objects+=("$out/$source.o")
done
for number in 4 5 6 7 8; do
  [ -f "review/$number/trial.cpp" ] || continue
  g++ "${flags[@]}" "review/$number/trial.cpp" "${objects[@]}" -lhttp_parser -pthread -o "$out/case-$number"
done
