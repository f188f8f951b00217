#!/bin/bash
# The process itself: starts the front given as the first argument with few descriptors, outlives more clients than
# they allow, writes its counters on SIGUSR1, and stops on SIGTERM with exit code 0. A bad configuration ends it with
# one line that names the field.
set -euo pipefail
front_binary=$1
config="$(dirname "$0")/config.json"
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT

# Waits until the log has such a line: at most 15 s, and no longer than it takes.
await() {
    for _ in $(seq 300); do
        grep -q "$1" "$folder/log" && return 0
        sleep 0.05
    done
    echo "no line '$1' in the log:" >&2
    cat "$folder/log" >&2
    exit 1
}
up() {
    exec 3<>"/dev/tcp/127.0.0.1/$port"
    printf 'GET /up HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n' >&3
    head -n 1 <&3 | grep -q '^HTTP/1.1 200 '
    exec 3>&-
}

cp "$config" "$folder/config.json"
(ulimit -n 70 && PROXY_CONFIG="$folder/config.json" exec "$front_binary") 2>"$folder/log" &
front=$!
await 'listens on'
port=$(sed -n 's/.*n0 listens on 127.0.0.1:\([0-9]*\).*/\1/p' "$folder/log")
up
# More clients than the front has descriptors: the oldest idle ones make room, and it goes on answering.
fds=()
for _ in $(seq 100); do
    exec {fd}<>"/dev/tcp/127.0.0.1/$port"
    fds+=("$fd")
done
up
for fd in "${fds[@]}"; do exec {fd}>&-; done
up
kill -USR1 "$front"
await 'counters requests: taken=0'
# SIGHUP: the file is read again; a bad one changes nothing and is one line.
sed 's/"discovery":"127.0.0.1:1"/"discovery":"127.0.0.1:2"/; s/"n0"/"n9"/' "$config" >"$folder/config.json"
kill -HUP "$front"
await 'reloaded: discovery at 127.0.0.1:2, 0 peers, 1024 descriptors; only a restart changes name$'
echo '{"name":"n0"}' >"$folder/config.json"
kill -HUP "$front"
await 'error: reload: listen: missing; the old values stay'
up
# SIGTERM: who is connected is served on, until shortly before SIGKILL may come; alone it stops sooner.
exec 4<>"/dev/tcp/127.0.0.1/$port"
ask_again() {
    printf 'GET /up HTTP/1.1\r\nHost: front\r\n\r\n' >&4
    [ "$(head -c 41 <&4 | tr -d '\r\n')" = 'HTTP/1.1 200 OKContent-Length: 3up' ]
}
ask_again
kill -TERM "$front"
await 'stopping'
ask_again
exec 4>&-
wait "$front"
await 'stopped'

code=0
sed 's/"discovery":"127.0.0.1:1"/"discovery":7/' "$config" >"$folder/bad.json"
PROXY_CONFIG="$folder/bad.json" "$front_binary" 2>"$folder/log" || code=$?
[ "$code" -eq 2 ]
[ "$(wc -l <"$folder/log")" -eq 1 ]
grep -q 'discovery: not a string' "$folder/log"
