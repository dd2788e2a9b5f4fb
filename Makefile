PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
LIBRARIES := $(wildcard libraries/*)
SOURCES := libraries platform tests scripts conftest.py
INSTALL := $(foreach library,$(LIBRARIES),-e ./$(library))

.PHONY: setup format lint types imports pytest test demo bench experiment experiment-full faults clean

$(VENV)/.ready: constraints.txt requirements-dev.txt $(wildcard libraries/*/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt setuptools wheel
	$(BIN)/pip install --quiet --constraint constraints.txt --requirement requirements-dev.txt
	$(BIN)/pip install --quiet --no-build-isolation --constraint constraints.txt $(INSTALL)
	touch $@

setup: $(VENV)/.ready

format: setup
	$(BIN)/ruff format $(SOURCES)

lint: setup
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)

types: setup
	$(BIN)/mypy

imports: setup
	$(BIN)/lint-imports --no-cache
	$(BIN)/python scripts/check_dependencies.py

pytest: setup
	HYPOTHESIS_PROFILE=ci $(BIN)/python -m pytest

test: lint types imports pytest

demo: setup
	scripts/demo.sh

bench: setup
	scripts/bench.sh

experiment: setup
	$(BIN)/sardinepier-workbench experiment detection --quick
	$(BIN)/sardinepier-workbench experiment load --quick

experiment-full: setup
	$(BIN)/sardinepier-workbench experiment detection
	$(BIN)/sardinepier-workbench experiment load

faults: setup
	scripts/faults.sh

clean:
	rm -rf $(VENV)
