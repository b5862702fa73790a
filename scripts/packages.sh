#!/usr/bin/env bash
# Installs what the build needs, from Debian 12. Does nothing if all is there.
set -euo pipefail
packages=(
    g++ cmake ninja-build ccache pkg-config clang-format clang-tidy curl
    libev-dev libgrpc++-dev libprotobuf-dev protobuf-compiler-grpc libboost-dev libboost-program-options-dev libspdlog-dev libfmt-dev
    libcurl4-openssl-dev libmicrohttpd-dev libjsoncpp-dev libxxhash-dev libssl-dev libgtest-dev libgmock-dev libbenchmark-dev
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
apt-get update
DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends "${missing[@]}"
