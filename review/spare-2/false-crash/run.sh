#!/usr/bin/env bash
exec "$(dirname "$0")/../../stand-2/run.sh" "$(dirname "$0")"
