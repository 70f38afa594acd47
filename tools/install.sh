#!/usr/bin/env bash
# Installs the Debian packages that the build, the checks and the tests need.
set -eu
packages="g++ clang-format clang-tidy cmake ninja-build ccache curl
  libevent-dev libwebsocketpp-dev libboost-dev libboost-log-dev libcli11-dev
  libexpected-dev doctest-dev nlohmann-json3-dev librapidcheck-dev
  libxxhash-dev libssl-dev zlib1g-dev libhttp-parser-dev"
missing=""
for package in $packages; do
  dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q 'ok installed' ||
    missing="$missing $package"
done
[ -n "$missing" ] || exit 0
apt-get update -q
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends $missing
