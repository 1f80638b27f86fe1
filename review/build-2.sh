#!/usr/bin/env bash
# Builds the stand-ins of review/4 to review/8 into target/review-2/site. Run it after the build of
# the deploy file; it uses the same libraries.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -Wno-restrict -DMSGPACK_NO_BOOST -Isrc -Ireview/standin-2 \
  review/standin-2/site.cpp review/standin-2/cases.cpp \
  src/protocol/messagepack_codec.cpp src/transport/http_client.cpp \
  -o target/review-2/site -levent
