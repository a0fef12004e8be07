#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases 11 to 15 into
# target/review-3, with the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra)
for source in world deployment; do
  g++ "${flags[@]}" -c "review/lib3/$source.cpp" -o "$out/$source.o" &
done
wait
for folder in review/1[1-5]; do
  [ -f "$folder/case.cpp" ] || continue
  g++ "${flags[@]}" "$folder/case.cpp" "$out/world.o" "$out/deployment.o" \
    -o "$out/case-$(basename "$folder")" &
done
wait
