# Every target does its own set-up on a machine with Python 3.11, pip and make.
PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
PACKAGES := core daemon cli standins
STAMP := $(VENV)/.installed
EDITABLE := $(foreach p,$(PACKAGES),-e packages/swifttide_$(p))

.PHONY: setup lint format test demo

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
	@echo "no demo yet"

.PHONY: bench bench-plots bench-ablations bench-core

bench: setup
	$(BIN)/python -m benchmarks

bench-plots: setup
	$(BIN)/python -m benchmarks --plots

bench-ablations: setup
	$(BIN)/python -m benchmarks --ablations

bench-core: setup
	$(BIN)/python -m benchmarks.core_speed
