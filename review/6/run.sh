#!/usr/bin/env bash
# Long flows with pauses of 10.7 s, and one lost SYN+ACK. Exits with 1 if FLOW was
# broken, 0 if it held, 2 if the case could not run. TROUBLE=0: the same without
# the loss. Needs the build of the deploy file and review/build-2.sh.
set -uo pipefail
cd "$(dirname "$0")/../.."
program=$PWD/target/gentianspindled-tagged
rig=$PWD/target/review-2/second-syn-ack
[[ -x $program && -x $rig ]] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
RECORD=review/6/record.txt PAUSE_MS=10700 REQUESTS=2 timeout -k 2 90 \
  "$rig" "$program" "$folder" "${TROUBLE:-1}" &
child=$!
trap 'kill "$child" 2>/dev/null' INT TERM
wait "$child"
result=$?
[[ $result -le 1 ]] && exit $result
exit 2
