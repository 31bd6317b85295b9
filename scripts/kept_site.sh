#!/usr/bin/env bash
# Derives a site of the users' bench in which all jobs are durable from one in
# which some are best-effort. Usage: scripts/kept_site.sh SITE.toml TARGET.toml
set -eu
sed 's/loose = true, //' "$1" >"$2"
[ ! -e "${1%.toml}.days" ] || cp "${1%.toml}.days" "${2%.toml}.days"
