# Main targets: `make demo` runs a demonstration, `make check` all checks.
BUILD ?= build
PACKAGES = meson ninja-build pkg-config gcc clang clang-format clang-tidy libclang-rt-14-dev \
  libtalloc-dev libtevent-dev libmsgpack-dev libmicrohttpd-dev libhttp-parser-dev libcurl4-openssl-dev \
  libargtable2-dev libcunit1-dev liburcu-dev libinih-dev libjansson-dev nettle-dev \
  libxxhash-dev uthash-dev zlib1g-dev spin gnuplot-nox curl jq man-db

.PHONY: all packages build check lint format test demo fuzz

all: build

packages:
	@tools/install_packages.sh $(PACKAGES)

$(BUILD)/build.ninja:
	meson setup $(BUILD)

build: $(BUILD)/build.ninja
	ninja -C $(BUILD)

lint: build
	tools/lint.sh $(BUILD)

format:
	git ls-files '*.c' '*.h' | xargs clang-format -i

test: build
	tools/run_tests.sh $(BUILD)

fuzz:
	tools/run_fuzz.sh build-fuzz

check: packages lint fuzz test

demo: packages build
	tools/demo.sh $(BUILD)
