#!/bin/sh
# Builds the programs of the cases, with all stand-ins, into target/review/. Uses the packages of the
# deploy file only.
cd "$(dirname "$0")/.." || exit 1
mkdir -p target/review || exit 1
for folder in review/[0-9]*; do
    program=target/review/case$(basename "$folder")
    rm -f "$program"
    g++ -std=c++20 -O1 -w -DMSGPACK_NO_BOOST -Isrc -Ireview/standin -o "$program" \
        "$folder/case.cpp" src/protocol/messagepack_codec.cpp src/transport/http_client.cpp \
        -levent_core -levent_extra &
done
wait
for folder in review/[0-9]*; do
    [ -x "target/review/case$(basename "$folder")" ] || exit 1
done
