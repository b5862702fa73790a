# The two commands of the README: make run, make test. All else is for developers.
BUILD ?= build
JOBS ?= $(shell nproc)
SOURCES = $(shell git ls-files --cached --others --exclude-standard '*.cpp' '*.h')

# Some minutes of fresh seeds: make soak SOAK_SEEDS="101 102" SOAK_SECONDS=20
SOAK_SEEDS ?= $(shell shuf -i 1000-999999 -n 6)
SOAK_SECONDS ?= 20
# What scripts/run.sh starts.
RUN_TARGETS = cardamomliftd cardamomlift standin-platform standin-engine standin-service
.PHONY: soak run test build configure packages bench format format-check lint clean

run: packages configure
	ninja -C $(BUILD) -j $(JOBS) $(RUN_TARGETS)
	BUILD=$(BUILD) scripts/run.sh

test: packages build
	scripts/check_packages.sh
	scripts/check_proofs.sh $(BUILD)
	scripts/test.sh $(BUILD) $(JOBS)

packages:
	scripts/packages.sh

configure:
	cmake -S . -B $(BUILD) -G Ninja

build: configure
	ninja -C $(BUILD) -j $(JOBS)

soak: packages build
	SOAK_SEEDS="$(SOAK_SEEDS)" SOAK_SECONDS=$(SOAK_SECONDS) $(BUILD)/soak

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
