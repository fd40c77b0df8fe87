#!/bin/sh
# Plays the case bad-version. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
standins=$root/target/review-4/standins
if [ ! -x "$standins" ] || [ ! -x "$root/target/basilmoor" ]; then
	echo "build first: the build of deploy/system.toml, then review/build-3.sh" >&2
	exit 2
fi
"$standins" -case bad-version -root "$root" -record "$here/record.txt" &
pid=$!
trap 'kill "$pid" 2>/dev/null; wait "$pid"; exit 2' INT TERM
wait "$pid"
