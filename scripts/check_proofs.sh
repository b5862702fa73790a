#!/usr/bin/env bash
# Each test that docs/PROOFS.md names must exist: "Suite.Name", "Suite.*", and ".Name" for another test of the suite
# named last. Called with the build folder, whose ctest knows all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
tests=$(mktemp)
trap 'rm -f "$tests"' EXIT
ctest --test-dir "$build" -N | sed -n 's/^ *Test *#[0-9]*: //p' > "$tests"
grep '^|' docs/PROOFS.md | grep -o '`[^`]*`' | tr -d '`' | grep -E '^([A-Z][A-Za-z0-9]*(/[A-Za-z0-9]+)?)?\.([A-Z*])' |
    awk -v list="$tests" '
        function exists(pattern, test) {
            for (test in known) if (test ~ pattern) return 1
            return 0
        }
        BEGIN { while ((getline line < list) > 0) known[line] = 1 }
        {
            name = $0
            if (name ~ /^\./) name = suite name
            suite = name
            sub(/\..*/, "", suite)
            pattern = name
            gsub(/\./, "[.]", pattern)
            gsub(/\*/, ".*", pattern)
            if (!exists("^([A-Za-z0-9]+/)?" pattern "(/.*)?$")) {
                print "check_proofs: docs/PROOFS.md names a test that does not exist: " name > "/dev/stderr"
                missing = 1
            }
            named++
        }
        END {
            # A page whose tables can no longer be read must not pass as one without errors.
            if (named < 50) { print "check_proofs: only " named " tests found on the page" > "/dev/stderr"; missing = 1 }
            exit missing
        }'
