# guavahaven: 'make help' lists what can be done here.

JOBS ?= 10
CTEST_JOBS ?= 4
SEEDS ?= 5
DAY ?= quiet-1
WHY ?= a day by make bench-day
SOURCES = $(shell git ls-files 'src/*.h' 'src/*.cpp' 'platform/*.h' 'platform/*.cpp' 'tests/*.h' 'tests/*.cpp')

.PHONY: help deps build build-debug demo prove prove-fails test test-debug bench-day format format-check lint bench signature clean

help: ## Show this list
	@sed -n 's/^\([a-z-]*\):.*## /\1\t/p' Makefile | expand -t 16

deps: ## Install the Debian packages that the build needs
	@scripts/install-packages

build: deps ## Build the release binaries
	@cmake --preset release > build.log 2>&1 || { cat build.log; rm -f build.log; exit 1; }; rm -f build.log
	@cmake --build --preset release -j $(JOBS)

build-debug: deps ## Build with the address and undefined-behaviour sanitizers
	@cmake --preset debug > build.log 2>&1 || { cat build.log; rm -f build.log; exit 1; }; rm -f build.log
	@cmake --build --preset debug -j $(JOBS)

demo: build ## Run a small deployment on this machine, and say what happened
	@build/release/guavahaven-demo

prove: build ## Prove the promises under faults: make prove SEEDS=50 for a long run
	@build/release/guavahaven-prove --seeds=$(SEEDS)

prove-fails: build ## Show that each proof fails once its guard is switched off
	@cmake --build --preset release -j $(JOBS) --target guavahaven-daemon-unguarded
	@build/release/guavahaven-prove --without-guards

test: build ## Build and run all tests
	@scripts/run-tests build/release $(CTEST_JOBS)

test-debug: build-debug ## Run all tests under the sanitizers
	@scripts/run-tests build/debug $(CTEST_JOBS)

format: ## Format all sources
	@clang-format -i $(SOURCES)

format-check: ## Say which sources are not formatted
	@clang-format --dry-run --Werror $(SOURCES)

lint: build ## Run the linter over all sources
	@scripts/lint $(JOBS)

bench-day: ## Play a day on the users' bench: make bench-day FLEETBENCH=PATH SITE=FILE [DAY=quiet-1]
	@[ -x "$(FLEETBENCH)" ] || { echo "bench-day: FLEETBENCH must be the path of the users' bench, which is not part of this repository"; exit 1; }
	@[ -f "$(SITE)" ] || { echo "bench-day: SITE must be a site file of the users' bench"; exit 1; }
	@"$(FLEETBENCH)" run "$(SITE)" $(DAY) --why "$(WHY)"

bench: build ## Run the latency experiment
	@build/release/guavahaven-bench latency

signature: build ## Compare the decisions' signature with the stated one
	@scripts/check-signature

clean: ## Remove all build results
	@rm -rf build
