#!/bin/bash
# Builds the stand-ins of the review's cases into target/review/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f target/libcottonway.a ] || { echo "build.sh: first run the build of deploy/service.toml" >&2; exit 2; }
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O2 -Wall -Wextra -Isrc -DASIO_STANDALONE -DASIO_NO_DEPRECATED -DASIO_DISABLE_STD_ALIGNED_ALLOC
  -DSPDLOG_COMPILED_LIB -DSPDLOG_FMT_EXTERNAL)
libraries=(target/libcottonway.a -lspdlog -lfmt -lhttp_parser -lpthread)
pids=()
for source in review/standins/*.cpp; do
  g++ "${flags[@]}" -c "$source" -o "$out/$(basename "$source" .cpp).o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
for case in $(sed -n 's/^exec .* \([a-z_]*\)$/\1/p' review/[0-9]*/run.sh); do
  g++ "$out/$case.o" "$out/stage.o" "$out/worker.o" "${libraries[@]}" -o "$out/$case"
done
