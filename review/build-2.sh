#!/usr/bin/env bash
# Builds every stand-in that the scripts review/4 to review/8 start. Run it from anywhere after the build of the deploy
# file; it needs nothing beyond the packages of deploy/service.toml.
set -eu
cd "$(dirname "$0")/.."
[ -f target/libcottonway.a ] || { echo "first run the build of deploy/service.toml" >&2; exit 2; }
mkdir -p target/review-2
flags="-std=c++20 -O2 -Isrc -Ireview/stage-2 -DASIO_STANDALONE -DASIO_NO_DEPRECATED -DASIO_DISABLE_STD_ALIGNED_ALLOC"
pids=()
for source in review/stage-2/*.cpp; do
  object=target/review-2/$(basename "$source" .cpp).o
  g++ $flags -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
objects=$(for source in review/stage-2/*.cpp; do echo "target/review-2/$(basename "$source" .cpp).o"; done)
g++ $objects target/libcottonway.a -lspdlog -lfmt -lhttp_parser -lpthread -o target/review-2/stage
