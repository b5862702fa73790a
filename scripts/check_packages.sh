#!/usr/bin/env bash
# Checks that each library header, pkg-config module and tool that the build uses belongs to a package of packages.list,
# and that deploy/system.toml names the build's packages. A machine that has more installed would not show what is missing.
set -euo pipefail
cd "$(dirname "$0")/.."
wrong=0

report()
{
    echo "check_packages: $*" >&2
    wrong=1
}

listed()
{
    awk -v name="$1" '!/^#/ && $2 == name { found = 1 } END { exit !found }' scripts/packages.list
}

# owner_is_listed WHAT FILE: the package that owns FILE must be on the list.
owner_is_listed()
{
    local real owner
    real=$(readlink -f "$2")
    owner=$(dpkg -S "$2" 2> /dev/null || dpkg -S "$real" 2> /dev/null || dpkg -S "${real#/usr}" 2> /dev/null || true)
    owner=$(echo "$owner" | head -1 | sed -E 's/^([^:,]+)[:,].*/\1/')
    if [ -z "$owner" ]; then
        report "$1: no package owns $2"
        return
    fi
    # A versioned package stands for the one on the list that depends on it.
    local package
    for package in $(awk '!/^#/ { print $2 }' scripts/packages.list); do
        [ "$package" = "$owner" ] && return
        dpkg-query -W -f '${Depends}' "$package" 2> /dev/null | tr ',' '\n' | grep -qE "^ *$owner( |:|$)" && return
    done
    report "$1: package $owner is not on scripts/packages.list"
}

for module in $(sed -nE 's/.*pkg_check_modules\([A-Z0-9]+ REQUIRED IMPORTED_TARGET ([^)]+)\).*/\1/p' CMakeLists.txt); do
    folder=$(pkg-config --variable=pcfiledir "$module" 2> /dev/null || true)
    [ -n "$folder" ] || { report "pkg-config does not know $module"; continue; }
    owner_is_listed "pkg-config module $module" "$folder/$module.pc"
done
multiarch=$(g++ -print-multiarch)
for header in $(git ls-files '*.cpp' '*.h' '*.cc' | xargs sed -nE 's/^#include <([a-z0-9_+]+\/[^>]+|ev\.h|xxhash\.h|microhttpd\.h)>.*/\1/p' | sort -u); do
    for folder in /usr/include "/usr/include/$multiarch" /usr/include/jsoncpp; do
        [ -e "$folder/$header" ] || continue
        case $header in sys/* | netinet/* | arpa/* | linux/*) continue 2 ;; esac
        owner_is_listed "header $header" "$folder/$header"
        continue 2
    done
done
for tool in g++ cmake ninja pkg-config protoc grpc_cpp_plugin clang-format clang-tidy curl ccache; do
    path=$(command -v "$tool" || true)
    [ -n "$path" ] || { report "tool $tool is missing"; continue; }
    owner_is_listed "tool $tool" "$path"
done
for package in $(awk '$1 == "build" { print $2 }' scripts/packages.list); do
    grep -q "\"$package\"" deploy/system.toml || report "deploy/system.toml does not name $package"
done
for package in $(sed -n '/^packages = \[/,/^\]/p' deploy/system.toml | grep -oE '"[^"]+"' | tr -d '"'); do
    listed "$package" || report "deploy/system.toml names $package, scripts/packages.list does not"
done
exit $wrong
