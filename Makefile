VENV := .venv
PYTHON := $(VENV)/bin/python
INSTALLED := $(VENV)/.installed

.PHONY: demo test lint bench capacity recorded-messages

demo: $(INSTALLED)
	$(PYTHON) -m banyansail demo

test: $(INSTALLED)
	$(PYTHON) -m pytest -n 6 --dist loadfile

lint: $(INSTALLED)
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .

$(INSTALLED): pyproject.toml
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --editable '.[test]'
	touch $(INSTALLED)

bench: $(INSTALLED)
	$(PYTHON) -m benchmarks.decisions
	$(PYTHON) -m benchmarks.memory
	$(PYTHON) -m benchmarks.relay
	for name in hop questions affinity amplification ledger; do \
	  $(PYTHON) -m benchmarks.requests $$name || exit 1; done
	$(PYTHON) -m benchmarks.rollout_cases 5
	$(PYTHON) -m benchmarks.placement_cost
	$(PYTHON) -m benchmarks.placement_load 3
	$(PYTHON) -m benchmarks.gossip_size 36 90
	$(PYTHON) -m benchmarks.evidence 9 36
	$(PYTHON) -m benchmarks.ledger_size 0 100000
	$(PYTHON) -m benchmarks.unknown_orders
	$(PYTHON) -m benchmarks.fleet
	$(PYTHON) -m benchmarks.idle_router

capacity: $(INSTALLED)
	$(PYTHON) -m benchmarks.capacity

# Writes the messages of an earlier build from the history, as tests/wire/recorded/COMMIT.
recorded-messages: $(INSTALLED)
	$(PYTHON) -m tests.wire.record_messages $(COMMIT)
