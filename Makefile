# Every target does its own set-up on a machine with Python 3.11, pip and make.
PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
PACKAGES := core daemon cli standins
STAMP := $(VENV)/.installed
EDITABLE := $(foreach p,$(PACKAGES),-e packages/swifttide_$(p))

.PHONY: setup lint format test demo site docs-check capacity fuzz mutations

setup: $(STAMP)

$(STAMP): constraints.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -c constraints.txt \
	  -r requirements-dev.txt $(EDITABLE)
	touch $(STAMP)

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

test: lint
	$(BIN)/python tools/run_tests.py

demo: setup
	$(BIN)/python -m swifttide_standins.demo

# A small fleet to try the command on; runs until Ctrl-C.
site: setup
	$(BIN)/python -m swifttide_standins.site out/site.env

# Links of all pages, and every command of the documentation.
docs-check: setup
	$(BIN)/python tools/check_docs.py

# Some eight minutes; PARTS="control edits" measures only those.
capacity: setup
	mkdir -p out
	$(BIN)/python -m swifttide_standins.capacity $(PARTS) --json out/capacity.json

# Fuzzing with fresh seeds, FUZZ_SECONDS for each rule machine; prints each seed.
# SWIFTTIDE_FUZZ_SEED=N runs one seed again.
FUZZ_SECONDS ?= 60
fuzz: setup
	SWIFTTIDE_FUZZ_SECONDS=$(FUZZ_SECONDS) $(BIN)/python -m pytest -s tests/fuzz

# Each promise's mechanism disabled in a copy; the proofs must notice (docs/proofs.md).
mutations: setup
	$(BIN)/python tools/try_mutations.py

.PHONY: bench bench-plots bench-ablations bench-core

bench: setup
	$(BIN)/python -m benchmarks

bench-plots: setup
	$(BIN)/python -m benchmarks --plots

bench-ablations: setup
	$(BIN)/python -m benchmarks --ablations

bench-core: setup
	$(BIN)/python -m benchmarks.core_speed

.PHONY: bench-daemon

bench-daemon: setup
	$(BIN)/python -m benchmarks.daemon_speed
.PHONY: bench-limits

# Rate and burst, and retries, against baselines; the same figures on every run.
bench-limits: setup
	$(BIN)/python -m benchmarks.limits
.PHONY: bench-overload bench-program-rates

# Programs of customers at their rate, by several ways of letting requests in.
bench-program-rates: setup
	$(BIN)/python -m benchmarks.program_rates

# Bursts and a loss of all hosts, with and without the gate for new programs.
bench-overload: setup
	$(BIN)/python -m benchmarks.overload
