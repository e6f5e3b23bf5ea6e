#!/usr/bin/env bash
# Replays every trace: run.sh [BINARY].  The default policy runs twice: the
# first run must meet the outcome that the trace's .ini file expects, and both
# runs must have the same output, byte for byte.  The two baseline policies run
# for comparison.  Prints one line of figures for each trace.
set -uo pipefail
cd "$(dirname "$0")" || exit 1
binary=$(cd ../.. && realpath "${1:-build/plain/chestnuthitch}")
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
failed=0

# site TRACE: prints the path of the settings that a trace is replayed with.
site() {
    case $1 in
    recorded) echo recorded.site ;;
    late-report | lost-booking | doubled-deposit | bursts | flapping | \
        store-contended | rare) echo ../../examples/steppe.ini ;;
    *) echo ../../examples/gwisg.ini ;;
    esac
}

# replay TRACE POLICY OUTPUT [OPTION...]: writes the report to TRACE.OUTPUT.
replay() {
    local trace=$1 policy=$2 output=$3
    shift 3
    "$binary" replay --settings "$(site "$trace")" \
        --trace "$scratch/$trace.csv" --policy "$policy" "$@" \
        >"$scratch/$trace.$output"
}

# field FILE NAME: prints the first number called NAME in a JSON report.
field() {
    sed -n "s/.*\"$2\": \([0-9.]*\).*/\1/p" "$1" | head -n 1
}

# whole TRACE: all runs of one trace; fails if any run fails or if the two runs
# of the default policy differ.
whole() {
    local trace=$1 status=0
    if [ -f "$trace.jsonl" ]; then
        cp "$trace.jsonl" "$scratch/$trace.csv"
    else
        awk -v trace="$trace" -f generate.awk >"$scratch/$trace.csv" || return 1
    fi
    replay "$trace" default first --expect "$trace.ini" || status=1
    replay "$trace" default second || status=1
    if ! cmp -s "$scratch/$trace.first" "$scratch/$trace.second"; then
        echo "$trace: two runs of the same input differ" >&2
        status=1
    fi
    replay "$trace" static static || status=1
    replay "$trace" least-loaded least || status=1
    return $status
}

# figures TRACE: prints attainment per accelerator, model loads and requests
# that met their targets for the three policies; overcommitted memory is a
# failure.
figures() {
    local trace=$1 name file line="figure: $1"
    for name in default:first static:static least-loaded:least; do
        file=$scratch/$trace.${name#*:}
        line="$line; ${name%:*} $(field "$file" attainment_per_accelerator)"
        line="$line loads $(field "$file" model_loads)"
        line="$line met $(field "$file" met)"
        if [ "$(field "$file" overcommit_events)" != 0 ]; then
            echo "$trace: ${name%:*} overcommitted memory" >&2
            failed=1
        fi
    done
    file=$scratch/$trace.first
    echo "$line; of $(field "$file" requests); bound $(field "$file" bound)"
}

traces=$(for file in *.ini; do echo "${file%.ini}"; done)
running=0
for trace in $traces; do
    (whole "$trace" 2>"$scratch/$trace.errors" || touch "$scratch/$trace.failed") &
    running=$((running + 1))
    if [ "$running" -ge 4 ]; then
        wait -n
        running=$((running - 1))
    fi
done
wait
for trace in $traces; do
    figures "$trace"
    if [ -e "$scratch/$trace.failed" ]; then
        echo "FAIL $trace"
        cat "$scratch/$trace.errors"
        failed=1
    fi
done
exit "$failed"
