#!/bin/sh
# Lists the sources that the style check covers: all but generated code.
cd "$(dirname "$0")/.."
find base cli core daemon lease platform tests wire \
    \( -name '*.c' -o -name '*.h' -o -name '*.cc' \) |
    grep -v -e wire/levercove.h -e wire/levercove_xdr.c | sort
