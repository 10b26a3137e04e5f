PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: bench growth waiting demo slopes test search check format environment

environment: $(VENV)/.installed

# The tests run with the versions that are deployed.
$(VENV)/.installed: pyproject.toml deploy/requirements.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -c deploy/requirements.txt -e '.[dev]'
	touch $@

demo: environment
	$(BIN)/python scripts/demo.py

slopes: environment
	$(BIN)/python scripts/slopes.py
	$(BIN)/python scripts/entry_cost.py
	$(BIN)/python scripts/plan_cost.py

check: environment
	$(BIN)/black --quiet --check src tests scripts bench
	$(BIN)/isort --check-only src tests scripts bench
	$(BIN)/flake8 src tests scripts bench
	$(BIN)/mypy src/bronzetrack

format: environment
	$(BIN)/isort src tests scripts bench
	$(BIN)/black --quiet src tests scripts bench

# Files run side by side. Tests of one file share processes and ports.
WORKERS ?= $(shell nproc)
test: check
	$(BIN)/python -m pytest -n $(WORKERS) --dist loadfile

SEED ?= 0
FACTOR ?= 20
SEARCHED ?= configuration dispatch idempotency limits ownership retries \
	routing streaming
search: environment
	HYPOTHESIS_PROFILE=search SEARCH_FACTOR=$(FACTOR) $(BIN)/python \
		-m pytest --hypothesis-seed=$(SEED) $(addprefix tests/,$(SEARCHED))

# Seconds a megabyte of the steps that one sender's bytes can make longer.
growth: environment
	PYTHONPATH=src $(BIN)/python -m bench.growth

# Processor time of a VM while many requests wait for full engines.
waiting: environment
	PYTHONPATH=src:tests $(BIN)/python -m bench.waiting

bench: environment
	PYTHONPATH=src $(BIN)/python -m bench
