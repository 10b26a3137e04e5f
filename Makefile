PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: bench demo test check format environment

environment: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -e '.[dev]'
	touch $@

demo: environment
	$(BIN)/python scripts/demo.py

check: environment
	$(BIN)/black --quiet --check src tests scripts bench
	$(BIN)/isort --check-only src tests scripts bench
	$(BIN)/flake8 src tests scripts bench

format: environment
	$(BIN)/isort src tests scripts bench
	$(BIN)/black --quiet src tests scripts bench

test: check
	$(BIN)/python -m pytest

bench: environment
	PYTHONPATH=src $(BIN)/python -m bench
