#!/bin/sh
# Builds the stand-ins of the cases into review/build.
set -e
cd "$(dirname "$0")"
mkdir -p build
flags="-std=gnu11 -O2 -g -pthread -D_GNU_SOURCE -Wall -Wextra"
packages="glib-2.0 json-glib-1.0"
for case in standin/case_*.c; do
    name=$(basename "$case" .c)
    gcc $flags $(pkgconf --cflags $packages) -o "build/$name" "$case" \
        standin/base.c standin/store.c standin/worker.c standin/node.c \
        standin/deployment.c standin/config.c \
        $(pkgconf --libs $packages)
done
