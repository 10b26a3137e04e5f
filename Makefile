PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test check format environment

environment: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -e '.[dev]'
	touch $@

demo: environment
	$(BIN)/python scripts/demo.py

check: environment
	$(BIN)/black --quiet --check src tests scripts
	$(BIN)/isort --check-only src tests scripts
	$(BIN)/flake8 src tests scripts

format: environment
	$(BIN)/isort src tests scripts
	$(BIN)/black --quiet src tests scripts

test: check
	$(BIN)/python -m pytest
