PYTHON ?= python3.11
VENV ?= .venv
BIN = $(VENV)/bin
# Files run side by side; most of their time is waiting.
TEST_JOBS ?= 4

.PHONY: demo test lint format bench setup

setup: $(VENV)/.ready

$(VENV)/.ready: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev,plot]'
	touch $@

demo: setup
	$(BIN)/python -m demo.main

test: setup
	$(BIN)/python -m pytest -n $(TEST_JOBS) --dist loadfile

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/flake8 .
	$(BIN)/mypy

format: setup
	$(BIN)/ruff format .

bench: setup
	$(BIN)/python -m bench.main
