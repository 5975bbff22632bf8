#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the checks need.
set -euo pipefail
packages="build-essential cmake ninja-build ccache clang-format clang-tidy pkg-config curl openssl
  libevent-dev libsigc++-3.0-dev libnng-dev libboost-dev libboost-log-dev libcli11-dev
  nlohmann-json3-dev libvalijson-dev libxxhash-dev libhttp-parser-dev libssl-dev catch2 libtrompeloeil-cpp-dev
  librapidcheck-dev libbenchmark-dev"
missing=""
for package in $packages; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
elevate=""
[ "$(id -u)" = 0 ] || elevate="sudo"
$elevate apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $elevate apt-get install -y -qq --no-install-recommends $missing
