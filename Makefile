# The usual tasks; `make` alone lists them.
CONFIG ?= deploy/example.json

.PHONY: help build test lint run check demo demo-fleet bench

help:
	@echo "make demo | demo-fleet | build | test | lint | bench | run | check   (CONFIG=FILE for run and check)"

build:
	cargo build --release

test:
	.ci/run

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

demo: build
	target/release/umberloom-loadtest demo

demo-fleet: build
	target/release/umberloom-loadtest fleet --servers 5 --seconds 20 --seed 7

bench:
	cargo bench -p umberloom-dependencies

run: build
	target/release/umberloom serve --config $(CONFIG)

check: build
	target/release/umberloom check --config $(CONFIG) --operator deploy/operator.kdl
