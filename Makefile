# Everything a developer runs; the build itself is CMake's.

BUILD := build
SANITIZED := build-san
JOBS := $(shell nproc)

.PHONY: all install demo sanitized test test-long bench capacity mutations soak lint format clean

all: install
	cmake -S . -B $(BUILD) >/dev/null
	cmake --build $(BUILD) -j $(JOBS) -- --no-print-directory

install:
	scripts/install.sh

demo: all
	BUILD=$(BUILD) scripts/demo.sh

sanitized: install
	cmake -S . -B $(SANITIZED) -DLC_SANITIZE=ON >/dev/null
	cmake --build $(SANITIZED) -j $(JOBS) -- --no-print-directory

test: all sanitized
	BUILD=$(BUILD) SANITIZED=$(SANITIZED) scripts/test.sh

test-long: all
	BUILD=$(BUILD) scripts/test_long.sh

bench: all
	BUILD=$(BUILD) scripts/bench_quiet.sh
	BUILD=$(BUILD) scripts/bench.sh
	BUILD=$(BUILD) scripts/bench_fairness.sh
	BUILD=$(BUILD) scripts/bench_burst.sh

capacity: all
	BUILD=$(BUILD) scripts/capacity.sh

soak: all
	BUILD=$(BUILD) scripts/soak.sh

mutations: install
	scripts/mutations.sh

lint: all
	scripts/lint.sh $(BUILD)

format:
	scripts/sources.sh | xargs clang-format -i

clean:
	rm -rf $(BUILD) $(SANITIZED)
