# The usual tasks; `make` alone lists them.
CONFIG ?= deploy/example.json

.PHONY: help build test lint run check

help:
	@echo "make build | test | lint | run | check   (CONFIG=FILE for run and check)"

build:
	cargo build --release

test:
	.ci/run

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

run: build
	target/release/umberloom serve --config $(CONFIG)

check: build
	target/release/umberloom check --config $(CONFIG)
