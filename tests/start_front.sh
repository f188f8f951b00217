#!/bin/bash
# Starts the front given as the first argument, asks its ready path, stops it with SIGTERM and wants exit code 0.
set -euo pipefail
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
PROXY_CONFIG="$(dirname "$0")/config.json" "$1" 2>"$folder/log" &
front=$!
# The line names the port that the system gave; the front has written it once it listens.
for _ in $(seq 200); do
    port=$(sed -n 's/.*listens on 127.0.0.1:\([0-9]*\).*/\1/p' "$folder/log")
    [ -n "$port" ] && break
    sleep 0.05
done
exec 3<>"/dev/tcp/127.0.0.1/$port"
printf 'GET /up HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n' >&3
head -n 1 <&3 | grep -q '^HTTP/1.1 200 '
exec 3>&-
kill -TERM "$front"
wait "$front"
grep -q 'counters requests: taken=0' "$folder/log"
