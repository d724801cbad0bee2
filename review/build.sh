#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review. Needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
sources="review/standin/main.cpp platform/base64.cpp platform/json_fields.cpp
    src/libs/net/http_client.cpp src/libs/net/http_server.cpp src/libs/net/io_runtime.cpp
    src/libs/net/http_message.cpp src/libs/net/header_text.cpp src/libs/net/url.cpp
    src/libs/core/clock.cpp"
objects=
pids=
for source in $sources; do
    object=target/review/$(echo "$source" | tr / _).o
    objects="$objects $object"
    [ "$object" -nt "$source" ] && [ -z "$(find review/standin -newer "$object" -name '*.h')" ] && continue
    c++ -std=c++20 -O1 -Wall -Wextra -Isrc/libs -Iplatform -c "$source" -o "$object" &
    pids="$pids $!"
done
for pid in $pids; do
    wait "$pid"
done
# shellcheck disable=SC2086
c++ $objects -pthread -lcrypto -o target/review/review_standin
