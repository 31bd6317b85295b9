#!/bin/sh
# Builds the programs of the cases, each with the stand-ins of stand/stand.h in
# it, into target/review/. It needs g++ and libjansson-dev, which
# deploy/system.toml names among its packages (build-essential holds g++).
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]/case.cc review/more/*/case.cc; do
    [ -e "$source" ] || continue
    name=$(basename "$(dirname "$source")")
    g++ -std=c++17 -O1 -Wall -Wextra -pthread -Ireview/stand -o "target/review/case-$name" "$source" -ljansson
done
