# VENV and PYTHON may be set to reuse an environment; by default everything
# is installed into .venv from the pinned requirements.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
export PYTHONPATH := src:.
export PYTHONHASHSEED := 0

.PHONY: install demo test soak lint format bench binary clean

install: $(VENV)/.installed

$(VENV)/.installed: requirements.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements.txt
	touch $@

demo: install
	$(BIN)/python -m demo

test: install
	$(BIN)/python -m pytest

# Plays fresh random seeds; SEEDS and SECONDS say how many and for how long.
soak: install
	$(BIN)/python -m tests.soak --n_seeds $(or $(SEEDS),50) --seconds $(or $(SECONDS),10)

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: install
	$(BIN)/python -m bench $(if $(QUICK),--quick)

binary: install
	$(BIN)/python -m tools.binary

clean:
	rm -rf .venv dist build .hypothesis .ruff_cache
