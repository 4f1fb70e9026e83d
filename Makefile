# Shortcuts for common development commands; the build itself is in CMake.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: setup build check demo format format-check lint wire faults

setup:
	tools/install-deps

build: setup
	cmake -S . -B $(BUILD) -G Ninja
	cmake --build $(BUILD) -j $(JOBS)

check: build
	tools/check-tests $(BUILD) 4

demo: build
	$(BUILD)/bergamotusher_demo

format:
	tools/each-source | xargs clang-format -i

format-check:
	tools/each-source | xargs clang-format --dry-run -Werror

lint: build
	tools/each-source | grep '\.cpp$$' | \
	  xargs -P $(JOBS) -n 1 clang-tidy --quiet -p $(BUILD)

# Regenerates the committed protobuf code; the build itself does not run protoc.
wire:
	cd src/wire && for file in *.proto; do protoc --cpp_out=. $$file || exit 1; done

# Runs the fault matrix tests and updates their tables in docs/FAULTS.md.
faults:
	tools/fault-tables $(BUILD)
