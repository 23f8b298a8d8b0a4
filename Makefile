VENV ?= .venv
PYTHON ?= python3.11
PY = $(VENV)/bin/python
ARGS ?=
export PYTHONPATH := $(CURDIR)
export PYTHONDONTWRITEBYTECODE = 1

SITES = ../given/kit/more/system
FLEETBENCH = $(SITES)/more/bench-d17393/bin/fleetbench

.PHONY: run test lint format types unit measure faults faults-ci soak-ci install bench-quiet lab

install: $(VENV)/.installed

$(VENV)/.installed: requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --requirement requirements.lock
	touch $@

run: install
	$(PY) -m bergamotshunt local $(ARGS)

lint: install
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/flake8 .
	$(VENV)/bin/lint-imports
	$(VENV)/bin/mypy

format: install
	$(VENV)/bin/ruff format .

unit: install
	$(PY) -m pytest $(ARGS)

test: lint unit faults-ci soak-ci

faults-ci: install
	$(PY) -m bench.faults --part ci

soak-ci: install
	$(PY) -m bench.mesh_soak ci

measure: install
	$(PY) -m bench.measure $(ARGS)

lab: install
	$(PY) -m bench.model.lab $(ARGS)

faults: install
	$(PY) -m bench.faults $(ARGS)

bench-quiet:
	@if [ -x $(FLEETBENCH) ]; then \
	  for site in $(SITES)/sites/*.toml; do \
	    $(FLEETBENCH) run $$site quiet-1 --why "quiet day" || exit 1; \
	  done; \
	  for site in $(SITES)/grown/*.toml $(SITES)/large/*.toml; do \
	    $(FLEETBENCH) run $$site quiet-1 --small --why "quiet day" || exit 1; \
	  done; \
	else \
	  echo "bench-quiet: the users' kit is not here, nothing was played"; \
	fi
