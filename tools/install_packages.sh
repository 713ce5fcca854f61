#!/usr/bin/env bash
# Installs the Debian packages named that are missing; asks the registry only when one is.
set -eu
missing=()
for package in "$@"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' \
    || missing+=("$package")
done
[ ${#missing[@]} -gt 0 ] || exit 0
sudo=""
[ "$(id -u)" = 0 ] || sudo=sudo
$sudo apt-get update -q
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -q --no-install-recommends "${missing[@]}"
