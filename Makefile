# `make demo` and `make test` each set up all that they need in .venv.

PYTHON ?= python3
VENV := .venv
READY := $(VENV)/.ready

.PHONY: demo test lint format bench lock clean

demo: $(READY)
	$(VENV)/bin/python -m pistachioreach.bin.demo

test: $(READY)
	$(VENV)/bin/python -m pytest

lint: $(READY)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: $(READY)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

# Long measurements; reports land in bench/out.
bench: $(READY)
	$(VENV)/bin/python -m bench.all

# Renews requirements.lock from the ranges of pyproject.toml.
lock:
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --upgrade -e '.[dev,bench]'
	$(VENV)/bin/pip freeze --exclude-editable > requirements.lock

$(READY): pyproject.toml requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -c requirements.lock -e '.[dev,bench]'
	touch $@

clean:
	rm -rf $(VENV) bench/out
