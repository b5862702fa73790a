# The two commands of the README: make run, make test. All else is for developers.
BUILD ?= build
JOBS ?= $(shell nproc)
SOURCES = $(shell git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | grep -v /generated/)

.PHONY: run test build packages bench format format-check lint clean

run: packages build
	BUILD=$(BUILD) scripts/run.sh

test: packages build
	scripts/check_packages.sh
	ctest --test-dir $(BUILD) --output-on-failure -j $(JOBS)

packages:
	scripts/packages.sh

build:
	cmake -S . -B $(BUILD) -G Ninja 
	ninja -C $(BUILD) -j $(JOBS)

bench: packages build
	BUILD=$(BUILD) scripts/bench.sh

format:
	@clang-format -i $(SOURCES)

format-check:
	@clang-format --dry-run -Werror $(SOURCES)

lint: build
	BUILD=$(BUILD) scripts/lint.sh

clean:
	rm -rf $(BUILD)
