#!/usr/bin/env bash
# Builds the cases 4 to 8, with all stand-ins, into target/review-2/. Run it after the build of the
# deploy file; it uses the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
builds=()
for n in 4 5 6 7 8; do
  [ -d "review/$n" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-restrict -DMSGPACK_NO_BOOST -Isrc \
    "review/$n/case.cpp" src/protocol/messagepack_codec.cpp src/transport/http_client.cpp \
    -o "target/review-2/case$n" -levent_core -levent_extra &
  builds+=($!)
done
for build in "${builds[@]}"; do
  wait "$build"
done
