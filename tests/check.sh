#!/usr/bin/env bash
# Runs the named checks, or all checks when none is named, and ends with one
# line of counts.  A test listed in KNOWN-RED.txt may fail: its entry is printed
# and it is not counted as failed.  A run in which no test passed fails.
set -uo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
jobs=${JOBS:-$(nproc)}
passed=0
failed=0
red=0
logs=$build/logs
mkdir -p "$logs"
export G_SLICE=always-malloc
export TSAN_OPTIONS="suppressions=$PWD/tests/tsan.supp halt_on_error=1"
export ASAN_OPTIONS="detect_leaks=1"
export LSAN_OPTIONS="suppressions=$PWD/tests/lsan.supp print_suppressions=0"

# step NAME COMMAND...: runs one test; shows the end of its output if it fails.
step() {
    local name=$1 log
    shift
    log=$logs/$(echo "$name" | tr ' /' '__').log
    local begun=$SECONDS
    if "$@" >"$log" 2>&1; then
        passed=$((passed + 1))
        echo "ok   $name ($((SECONDS - begun)) s)"
        grep -h '^figure: ' "$log"
    elif [ -f KNOWN-RED.txt ] && grep -q "^$name:" KNOWN-RED.txt; then
        red=$((red + 1))
        grep "^$name:" KNOWN-RED.txt | sed 's/^/KNOWN RED /'
        tail -n 20 "$log"
    else
        failed=$((failed + 1))
        echo "FAIL $name ($((SECONDS - begun)) s)"
        tail -n 60 "$log"
    fi
}

check_build() {
    step build make -j "$jobs" tests
}

check_format() {
    step format make format
}

check_lint() {
    step lint make -j "$jobs" lint
}

check_unit() {
    local test
    for test in tests/unit/test_*.c tests/threaded/test_*.c; do
        step "${test%.c}" timeout 300 "$build/address/${test%.c}"
    done
}

check_threaded() {
    local test
    for test in tests/threaded/test_*.c; do
        step "thread ${test%.c}" timeout 300 "$build/thread/${test%.c}"
    done
}

check_fuzz() {
    local target name
    for target in tests/fuzz/fuzz_*.c; do
        name=$(basename "${target%.c}")
        step "fuzz $name" timeout 300 "$build/fuzz/bin/$name" -seed=1 \
            -runs=20000 -max_len=4096 -timeout=10 \
            "$(scratch_corpus "$name")"
    done
}

# Copies the corpus of a fuzz target, so that a run does not change the
# committed corpus, and prints the path of the copy.
scratch_corpus() {
    rm -rf "$build/corpus/$1"
    mkdir -p "$build/corpus"
    cp -r "tests/fuzz/corpus/$1" "$build/corpus/$1"
    echo "$build/corpus/$1"
}

check_spec() {
    step spec bash tests/spec/run.sh "$build/spec"
}

check_replay() {
    step replay bash tests/traces/run.sh "$build/plain/chestnuthitch"
}

check_demo() {
    step demo make run
}

check_failure() {
    local test
    for test in tests/failure/test_*.c; do
        step "${test%.c}" timeout 600 "$build/plain/${test%.c}"
    done
}

check_bench() {
    local bench
    for bench in tests/bench/bench_*.c; do
        "$build/plain/${bench%.c}" "$build/plain" || failed=$((failed + 1))
    done
}

if [ $# -eq 0 ]; then
    set -- format build lint unit threaded fuzz spec replay demo failure
fi
for check in "$@"; do
    "check_$check"
done
[ "$red" -eq 0 ] || echo "$red known red, see KNOWN-RED.txt"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
