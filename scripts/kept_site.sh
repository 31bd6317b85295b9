#!/usr/bin/env bash
# Writes a site of the users' bench whose jobs must all be kept, made of one
# whose need not be. Usage: scripts/kept_site.sh SITE.toml TARGET.toml
set -eu
sed 's/loose = true, //' "$1" >"$2"
[ ! -e "${1%.toml}.days" ] || cp "${1%.toml}.days" "${2%.toml}.days"
