#!/usr/bin/env bash
# Derives a site of the users' bench with QUEUES unused queues from another
# one.
# Usage: scripts/large_site.sh SITE.toml TARGET.toml QUEUES
set -eu
sed "s/^idle_routes = [0-9]*/idle_routes = $3/" "$1" >"$2"
cp "$(dirname "$1")/wire.json" "$(dirname "$2")/"
[ ! -e "${1%.toml}.days" ] || cp "${1%.toml}.days" "${2%.toml}.days"
