#!/bin/bash
# Tests the front's process, whose program is the first argument: it starts with few descriptors, keeps serving when
# more clients connect than these allow, logs its counters on SIGUSR1, reloads its configuration on SIGHUP, and exits
# with code 0 on SIGTERM. An invalid configuration makes it exit with code 2 and one line that names the field.
set -euo pipefail
front_binary=$1
config="$(dirname "$0")/config.json"
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT

# Waits up to 15 s for a log line that matches the pattern.
wait_for_log() {
    for _ in $(seq 300); do
        grep -q "$1" "$folder/log" && return 0
        sleep 0.05
    done
    echo "no log line matches '$1' after 15 s; the log:" >&2
    cat "$folder/log" >&2
    exit 1
}
check_up() {
    exec 3<>"/dev/tcp/127.0.0.1/$port"
    printf 'GET /up HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n' >&3
    head -n 1 <&3 | grep -q '^HTTP/1.1 200 '
    exec 3>&-
}

cp "$config" "$folder/config.json"
(ulimit -n 70 && PROXY_CONFIG="$folder/config.json" exec "$front_binary") 2>"$folder/log" &
front=$!
wait_for_log 'listens on'
port=$(sed -n 's/.*n0 listens on 127.0.0.1:\([0-9]*\).*/\1/p' "$folder/log")
check_up
# More clients than the front has descriptors: it closes the connections that were idle longest, and keeps serving.
fds=()
for _ in $(seq 100); do
    exec {fd}<>"/dev/tcp/127.0.0.1/$port"
    fds+=("$fd")
done
check_up
for fd in "${fds[@]}"; do exec {fd}>&-; done
check_up
kill -USR1 "$front"
wait_for_log 'counters requests: taken=0'
# SIGHUP reloads the configuration file; an invalid file changes nothing and is reported by one log line.
sed 's/"discovery":"127.0.0.1:1"/"discovery":"127.0.0.1:2"/; s/"n0"/"n9"/' "$config" >"$folder/config.json"
kill -HUP "$front"
wait_for_log 'reloaded: discovery at 127.0.0.1:2, 0 peers, 1024 descriptors; only a restart changes name$'
echo '{"name":"n0"}' >"$folder/config.json"
kill -HUP "$front"
wait_for_log 'error: reload: listen: missing; the old values stay'
check_up
# After SIGTERM the front serves connected clients until shortly before SIGKILL may follow; without any it stops
# sooner.
exec 4<>"/dev/tcp/127.0.0.1/$port"
request_up() {
    printf 'GET /up HTTP/1.1\r\nHost: front\r\n\r\n' >&4
    [ "$(head -c 41 <&4 | tr -d '\r\n')" = 'HTTP/1.1 200 OKContent-Length: 3up' ]
}
request_up
kill -TERM "$front"
wait_for_log 'stopping'
request_up
exec 4>&-
wait "$front"
wait_for_log 'stopped'

code=0
sed 's/"discovery":"127.0.0.1:1"/"discovery":7/' "$config" >"$folder/bad.json"
PROXY_CONFIG="$folder/bad.json" "$front_binary" 2>"$folder/log" || code=$?
[ "$code" -eq 2 ]
[ "$(wc -l <"$folder/log")" -eq 1 ]
grep -q 'discovery: not a string' "$folder/log"
