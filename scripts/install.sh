#!/bin/sh
# Installs the missing packages that the build and the checks need (Debian).
set -eu
PACKAGES="build-essential cmake pkg-config libuv1-dev libh2o-dev libtirpc-dev
libglib2.0-dev libjansson-dev libxxhash-dev libssl-dev librapidcheck-dev
curl jq patch clang-format clang-tidy cppcheck"
missing=""
for package in $PACKAGES; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
        grep -q "install ok installed" || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing
