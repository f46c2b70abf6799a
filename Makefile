# Build, test, lint and run; `make check` is what CI calls, and installs what it needs.
.PHONY: build test lint check setup run clean measure-slow-peers measure-registry measure-large-fleet measure-service \
	measure-cold-start measure-quota measure-zones demo soak

build:
	cargo build --release --locked

# What the checks need and the machine lacks: see .ci/prepare.
setup:
	.ci/prepare

test: setup
	.ci/test

lint: setup
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --document-private-items --locked

check: setup lint test

# Needs GW_CONFIG: the path of a configuration (see README.md).
run: build
	target/release/applewall serve

# Measurements: the machine to themselves, the verdict in the last line, status 0 only where the goal holds.
measure-slow-peers:
	cargo build --release --locked --workspace
	target/release/measure-slow-peers

measure-registry:
	cargo build --release --locked --workspace
	target/release/measure-registry

measure-service:
	cargo build --release --locked --workspace
	target/release/measure-service

# BEFORE: an earlier program to measure beside this one. SEEDS: of each row.
SEEDS := 20
measure-cold-start:
	cargo build --release --locked --workspace
	@out=$$(cargo test --release --locked -p applewall-startup-scheduler --test measure_startup -- --ignored --nocapture 2>&1); \
	status=$$?; printf '%s\n' "$$out" | sed -n '/^|/p;/^turns/p;/^error/p'; \
	target/release/measure-cold-start --seeds $(SEEDS) $(if $(BEFORE),--before $(BEFORE)) && exit $$status

measure-zones:
	cargo build --release --locked --workspace
	target/release/measure-zones --seeds $(SEEDS) $(if $(BEFORE),--before $(BEFORE))

# A small trial of three real processes with faults, and a page on it (docs/fault-testbed.md).
demo:
	cargo build --locked -p applewall
	cargo build --locked -p applewall-fault-testbed
	target/debug/applewall-fault-testbed play crates/fault-testbed/trials/demo.ini

# Random schedules of overlapping faults on real processes (docs/fault-testbed.md). FROM: the first of SOAK_SEEDS seeds.
FROM := 1
SOAK_SEEDS := 10
soak:
	cargo build --locked --workspace
	target/debug/fault-soak --from $(FROM) --seeds $(SOAK_SEEDS)

measure-large-fleet:
	@out=$$(cargo test --release --locked --test fleet_cost -- --ignored --nocapture 2>&1); status=$$?; \
	printf '%s\n' "$$out" | sed -n '/^fleet/,/^verdict/p;/panicked/p;/^error/p'; exit $$status

measure-quota:
	@out=$$(cargo test --release --locked --test quota_at_scale -- --ignored --nocapture 2>&1); status=$$?; \
	printf '%s\n' "$$out" | sed -n '/ nodes, /p;/^    /p;/^verdict/p;/^error/p'; exit $$status

clean:
	cargo clean
