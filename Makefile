# VENV may name a folder that several checkouts share.
VENV ?= .venv
PYTHON ?= python3
TEST_PROCESSES ?= 4
SOAK_S ?= 600
BINARY ?= dist/rhubarbmount
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed-$(shell sha256sum requirements.lock | cut -c1-12)

.PHONY: run check setup format lint test soak bench binary clean

run: setup
	$(BIN)/python -m rhubarbmount demo

check: setup lint test

setup: $(STAMP)

$(STAMP): requirements.lock
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements.lock
	touch $@

format: setup
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

test: setup
	$(BIN)/python -m pytest --numprocesses $(TEST_PROCESSES) --dist worksteal

soak: setup
	$(BIN)/python -m tests.soak --seconds $(SOAK_S)
	$(BIN)/python -m tests.batch.soak --seconds $(SOAK_S)

binary: setup
	mkdir -p $(dir $(BINARY))
	$(BIN)/python -m shiv --compressed --console-script rhubarbmount \
		--python "/usr/bin/env python3" --output-file $(BINARY) \
		--constraint requirements.lock .
	rm -rf build rhubarbmount.egg-info

clean:
	rm -rf dist build *.egg-info
