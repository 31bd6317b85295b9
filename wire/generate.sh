#!/bin/sh
# Regenerates the committed codec from levercove.x. Not part of the build.
set -eu
cd "$(dirname "$0")"
rm -f levercove.h levercove_xdr.c
rpcgen -h -o levercove.h levercove.x
rpcgen -c -o levercove_xdr.c levercove.x
