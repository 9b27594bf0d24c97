# Shared by the scripts: packages, build folder, build.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
ROOT=$PWD
BUILD=${YUCCASPAN_BUILD:-$ROOT/build}
JOBS=${YUCCASPAN_JOBS:-$(nproc)}

PACKAGES=(g++ cmake ninja-build ccache clang-format clang-tidy jq curl
    libboost1.81-dev libthrift-dev prometheus-cpp-dev libcxxopts-dev liblog4cxx-dev
    nlohmann-json3-dev libvalijson-dev libxxhash-dev libgtest-dev libgmock-dev
    librapidcheck-dev spin)

# Installs the packages that are missing.
install_packages() {
    local missing=() package
    for package in "${PACKAGES[@]}"; do
        dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
    done
    [ ${#missing[@]} -eq 0 ] && return
    local sudo=()
    [ "$(id -u)" -eq 0 ] || sudo=(sudo)
    "${sudo[@]}" apt-get update -q >/dev/null
    "${sudo[@]}" env DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${missing[@]}" >/dev/null
}

# Configures once and builds the given CMake targets, or all.
build() {
    [ -f "$BUILD/build.ninja" ] || cmake -S "$ROOT" -B "$BUILD" -G Ninja >/dev/null
    cmake --build "$BUILD" -j "$JOBS" ${1:+--target "$@"}
}

# Project sources that are formatted and checked.
project_sources() {
    git ls-files --cached --others --exclude-standard -- 'include/*.hpp' 'src/*.hpp' 'src/*.cpp' 'platform/*.?pp' 'standins/*.?pp' 'soak/*.?pp' 'bench/*.?pp' 'tests/*.?pp' 'examples/*.cpp' |
        while read -r file; do [ -f "$file" ] && echo "$file"; done
}
