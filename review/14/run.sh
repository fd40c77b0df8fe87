#!/bin/bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and
# review/build-2.sh.
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
root=$(cd "$here/../.." && pwd)
for program in target/basilmoor bin/bmcase3; do
	if [ ! -x "$root/$program" ]; then
		echo "no $program: build first" >&2
		exit 2
	fi
done
exec "$root/bin/bmcase3" late-crash "$here"
