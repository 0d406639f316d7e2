# Every target uses the virtual environment in .venv, made on first use.

PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := $(foreach p,core platform daemon gateway client standins bench,-e packages/$(p)) -e platform
TOOLS := pytest hypothesis ruff mypy

.PHONY: env test lint format clean

env: $(VENV)/.installed

$(VENV)/.installed: constraints.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt $(PACKAGES) $(TOOLS)
	touch $@

test: env
	$(BIN)/python -m pytest

lint: env
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy packages/*/src platform/src

format: env
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV)

# Both example deployments with stand-ins; ONCE=1 ends after the requests.
.PHONY: demo path-cost
demo: env
	$(BIN)/python -m flamingopond_bench.demo $(if $(ONCE),--once)

# The product against two baselines; QUICK=1 runs one short seed.
.PHONY: bench
bench: env
	$(BIN)/python -m flamingopond_bench.bench $(if $(QUICK),--quick)

path-cost: env
	$(BIN)/python -m flamingopond_bench.path_cost

# docs/capacity.json, and the tables and plots of docs/CAPACITY.md made from it.
.PHONY: capacity
capacity: env
	$(BIN)/python -m flamingopond_bench.capacity $(if $(QUICK),--quick)

# The fault soak of the gateway: SEED is the first seed, SEEDS their number, JOBS how
# many run side by side (at most three), GATEWAYS the number of gateways of each.
.PHONY: soak
soak: env
	$(BIN)/python tests/gateway/soak.py --seed $(or $(SEED),1) --seeds $(or $(SEEDS),1) \
		--seconds $(or $(SECONDS_EACH),15) --jobs $(or $(JOBS),1) \
		--gateways $(or $(GATEWAYS),3)
