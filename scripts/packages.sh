#!/usr/bin/env bash
# Installs what the build, the tests and the checks need, from Debian 12. Does nothing if all is there.
set -euo pipefail
cd "$(dirname "$0")"
mapfile -t packages < <(awk '!/^#/ { print $2 }' packages.list)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
apt-get update
DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends "${missing[@]}"
