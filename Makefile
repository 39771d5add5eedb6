BUILD := build
SANITIZE ?= 0
ifeq ($(SANITIZE),1)
BUILD := build-sanitize
CMAKE_FLAGS := -DSANITIZE=ON
endif
JOBS ?= 8

.PHONY: all build packages test bench demo soak lint format mutants fuzz docs rpc clean

all: build

packages:
	./.ci/packages

build:
	@cmake -S . -B $(BUILD) -G Ninja $(CMAKE_FLAGS) > /dev/null
	cmake --build $(BUILD) -j $(JOBS)

# Tests of known faults, see KNOWN-RED.txt; they are printed and passed over.
KNOWN_RED := $(shell sed -n 's/^test: *//p' KNOWN-RED.txt)
empty :=
known_red_pattern := $(subst $(empty) $(empty),|,$(strip $(KNOWN_RED)))

test: packages build
	@[ -z "$(KNOWN_RED)" ] || echo "known red and not run: $(KNOWN_RED)"
	cd $(BUILD) && ctest --output-on-failure -j 4 $(if $(KNOWN_RED),-E '^($(known_red_pattern))$$')

bench: packages build
	./bench/run $(BUILD) $(if $(QUICK),--quick)

demo: packages build
	./examples/demo $(BUILD) $(if $(KEEP),--keep)

# Those that once showed a violation, unless others are given.
SEEDS ?= $(shell sed -n 's/^\([0-9][0-9]*\) .*/\1/p' soak/seeds.txt)
SOAK_SECONDS ?= 20
soak: packages build
	./soak/run $(BUILD) $(SOAK_SECONDS) $(SEEDS)

lint:
	./.ci/lint

format:
	git ls-files '*.h' '*.cc' | grep -v gen-cpp | xargs clang-format -i

rpc:
	thrift --gen cpp:no_skeleton -out rpc/gen-cpp rpc/jackdawdeck.thrift

mutants: packages
	./tests/mutants

fuzz: packages build
	./tests/fuzz $(BUILD)

docs:
	doxygen Doxyfile

clean:
	rm -rf build build-sanitize
