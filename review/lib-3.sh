# Runs a case of the third review; to be sourced by its run.sh, which sets `case_name`. Uses a temporary folder, and ends all
# processes that it started: the stand-ins end the nodes, and timeout, if the time is over, ends its whole process group. Exits
# with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
here=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
top=$(cd "$here/../.." && pwd)
program=$top/target/bin/bergamot-node
standins=$top/build-review-3/bin/review-3
if [ ! -x "$program" ] || [ ! -x "$standins" ]; then
    echo "build with the line of deploy/system.toml and review/build-3.sh first" >&2
    exit 2
fi
folder=$(mktemp -d "${TMPDIR:-/tmp}/bergamot-review-3.XXXXXX")
trap 'rm -rf "$folder"' EXIT
flags=()
[ "${TROUBLE:-1}" = 0 ] || flags+=(--trouble)
cd "$top" || exit 2
timeout --signal=KILL 115 "$standins" --case "$case_name" --program "$program" --folder "$folder" \
    --record "$here/record.txt" "${flags[@]}"
outcome=$?
[ -z "${KEEP_LOGS:-}" ] || cp -r "$folder" "$KEEP_LOGS"
case $outcome in
0 | 1) exit "$outcome" ;;
*) exit 2 ;;
esac
