# `make test` is all that CI runs.
PYTHON ?= python3
DEV := .venv-dev/bin

.PHONY: demo test format lint install clean

# From a fresh clone to a served request.
demo: .venv/bin/python
	.venv/bin/python -m claycross demo

.venv/bin/python: requirements.txt
	test -d .venv || $(PYTHON) -m venv .venv
	.venv/bin/pip -q install -r requirements.txt
	touch $@

test: lint
	$(DEV)/python -m pytest -q -n 6 --dist loadfile

format: .venv-dev/installed
	$(DEV)/ruff format .

lint: .venv-dev/installed
	$(DEV)/ruff format --check .
	$(DEV)/ruff check .
	$(DEV)/python -m mypy

install: .venv-dev/installed

.venv-dev/installed: requirements.txt requirements-dev.txt
	test -d .venv-dev || $(PYTHON) -m venv .venv-dev
	$(DEV)/pip -q install -r requirements.txt -r requirements-dev.txt
	touch $@

clean:
	rm -rf .venv-dev .pytest_cache .ruff_cache .hypothesis
