#!/usr/bin/env bash
# Guards against a program that is not built from the sources beside it: the
# build of deploy/system.toml in a folder that was carried over from another
# commit or processor gives the program that an empty folder gives.
set -u
cd "$(dirname "$0")/.."
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT
cp -r base core lease wire platform daemon cli cmake CMakeLists.txt "$DIR"
LINE=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
[ -n "$LINE" ] || { echo "deploy/system.toml has no build"; exit 1; }

# build: as the platform does; sets SHOWN to what the program tells of itself
build() {
    (cd "$DIR" && eval "$LINE") >"$DIR/log" 2>&1 || { tail "$DIR/log"; exit 1; }
    SHOWN=$("$DIR/target/daemon/levercoved" --version)
}

# expect VERSION: the program tells this version and, if it is another one than
# before, another hash of its sources
expect() {
    [[ $SHOWN == "levercoved $1, build "* ]] || { echo "expected version $1: $SHOWN"; exit 1; }
}

# replace VERSION: another commit's base/version.h, older than all objects
replace() {
    sed -i "s/LC_VERSION_TEXT \".*\"/LC_VERSION_TEXT \"$1\"/" "$DIR/base/version.h"
    touch -d 2001-01-01 "$DIR/base/version.h"
}

build
FIRST=$SHOWN
replace 7.7.7
build
expect 7.7.7
[ "${SHOWN##* }" != "${FIRST##* }" ] || { echo "both builds name the same sources"; exit 1; }
CARRIED=$SHOWN

echo "a folder that does not tell what it was built from"
rm "$DIR/target/built-sources.txt"
replace 8.8.8
build
expect 8.8.8

echo "objects of another processor"
sed -i 's/^toolchain .*/toolchain other/' "$DIR/target/built-sources.txt"
find "$DIR/target" -name '*.o' -exec sh -c 'echo x >"$1"; touch -d 2100-01-01 "$1"' _ {} \;
replace 7.7.7
build
[ "$SHOWN" = "$CARRIED" ] || { echo "the same sources differ: $SHOWN, $CARRIED"; exit 1; }

echo "an empty folder"
rm -r "$DIR/target"
build
[ "$SHOWN" = "$CARRIED" ] || { echo "an empty folder gives $SHOWN, the carried one $CARRIED"; exit 1; }
