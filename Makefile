VENV := .venv
PYTHON := $(VENV)/bin/python
INSTALLED := $(VENV)/.installed

.PHONY: demo test lint bench capacity

demo: $(INSTALLED)
	$(PYTHON) -m banyansail demo

test: $(INSTALLED)
	$(PYTHON) -m pytest

lint: $(INSTALLED)
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .

$(INSTALLED): pyproject.toml
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --editable '.[test]'
	touch $(INSTALLED)
