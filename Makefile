# Set-up, tests, lint, demo and measurements. Every goal prepares the environment itself.
# WORKERS: test processes at once (one for each processor); SHUFFLE: seed of a random order.
PYTHON ?= $(shell command -v python3.11 || command -v python3)
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup test lint format demo bench soak clean

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock requirements-dev.lock pyproject.toml
	@$(PYTHON) -c 'import sys; sys.exit(sys.version_info[:2] != (3, 11))' || \
	  { echo "wagtailrun needs CPython 3.11 (curio 1.6 fails on 3.12 and later); set PYTHON=/path/to/python3.11" >&2; exit 1; }
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements-dev.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

test: setup
	$(BIN)/python -m tests.run $(if $(WORKERS),--workers $(WORKERS)) $(if $(SHUFFLE),--shuffle $(SHUFFLE))

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

demo: setup
	$(BIN)/python -m demo

bench: setup
	$(BIN)/python -m bench

# SEED: required; MINUTES: length; SIZE: small, usual or large (docs/operating.md).
soak: setup
	PYTHONPATH=platform $(BIN)/python -m soak $(if $(SEED),--seed $(SEED)) --minutes $(or $(MINUTES),10) --size $(or $(SIZE),small)

clean:
	rm -rf $(VENV) build
