#!/bin/sh
# See claim.txt.  TROUBLE=0 leaves the kill out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/chestnuthitch ] && [ -x review/build/case_taken_up ] || {
    echo "build target/chestnuthitch and run review/build.sh first" >&2
    exit 2
}
FOLDER=$(mktemp -d) || exit 2
RECORD="$here/record.txt"
export FOLDER RECORD
review/build/case_taken_up
status=$?
rm -rf "$FOLDER"
exit $status
