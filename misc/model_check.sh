#!/usr/bin/env bash
# Checks the specifications in spec/ with Spin.
#   misc/model_check.sh                 all models; then each with one rule left out, which must end with a counter-example
#   misc/model_check.sh --list          the rules, one `model rule` a line
#   misc/model_check.sh --without=RULE  the model of that rule without it; prints the counter-example, exits 1 if none is found
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
readonly search_depth=500000
readonly memory_limit_mb=4000
readonly time_limit_s=120

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

rules() {
    local model
    for model in spec/*.pml; do
        grep -ho 'WITHOUT_[a-z_]*[a-z]' "$model" | sort -u | sed "s|^WITHOUT_|$(basename "$model" .pml) |"
    done
}

# check MODEL [RULE]: prints Spin's summary; returns 0 if the whole state space was searched without an error, 1 if an
# error was found, 2 if the search could not be completed.
check() {
    local model=$1 rule=${2:-} options=() compile=() run=()
    [ -n "$rule" ] && options=("-DWITHOUT_$rule")
    if grep -q '^ltl' "$root/spec/$model.pml"; then
        compile=(-DNFAIR=3)
        run=(-a -f)
    else
        compile=(-DSAFETY)
    fi
    (
        cd "$work"
        rm -f pan* ./*.trail
        cp "$root/spec/$model.pml" .
        spin -a -o2 "${options[@]}" "$model.pml" > spin.log 2>&1 || { cat spin.log; exit 2; }
        cc -O2 -w -DCOLLAPSE -DMEMLIM=$memory_limit_mb "${compile[@]}" -o pan pan.c
        timeout $time_limit_s ./pan "${run[@]}" -m$search_depth > pan.log 2>&1 || { echo "the search was not completed"; exit 2; }
        grep -qE 'max search depth too small|out of memory|search not completed' pan.log && grep -q 'errors: 0' pan.log && exit 2
        grep -E 'errors: |states, stored|assertion violated|acceptance cycle' pan.log
        grep -q 'errors: 0' pan.log
    )
}

case "${1:-}" in
--list)
    rules
    ;;
--without=*)
    rule=${1#--without=}
    model=$(rules | awk -v rule="$rule" '$2 == rule { print $1 }')
    [ -n "$model" ] || { echo "no rule '$rule'; see --list" >&2; exit 2; }
    status=0
    check "$model" "$rule" || status=$?
    if [ "$status" -ne 1 ]; then
        echo "$model without $rule: no counter-example" >&2
        exit 1
    fi
    (cd "$work" && spin -t -p -o2 "-DWITHOUT_$rule" "$model.pml" | grep -E '^ *[0-9]+:')
    ;;
"")
    passed=0
    failed=0
    for model in spec/*.pml; do
        model=$(basename "$model" .pml)
        echo "== $model"
        if check "$model"; then passed=$((passed + 1)); else failed=$((failed + 1)); echo "FAILED: $model"; fi
    done
    while read -r model rule; do
        status=0
        check "$model" "$rule" > "$work/without.log" || status=$?
        if [ "$status" -eq 1 ]; then
            passed=$((passed + 1))
            echo "$model without $rule: counter-example found"
        else
            failed=$((failed + 1))
            echo "FAILED: $model without $rule: no counter-example"
            cat "$work/without.log"
        fi
    done < <(rules)
    echo "model checks: $passed passed, $failed failed"
    [ "$failed" -eq 0 ]
    ;;
*)
    echo "usage: misc/model_check.sh [--list | --without=RULE]" >&2
    exit 2
    ;;
esac
