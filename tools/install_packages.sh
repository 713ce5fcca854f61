#!/usr/bin/env bash
# Installs those of the given Debian packages that are missing. Contacts the registry only if one is.
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
