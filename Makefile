# Every target makes its own set-up: only python3 and make are needed beforehand.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
DAYS ?= quiet-1,trouble-1
SEEDS ?= 11
STAMP := $(VENV)/installed

.PHONY: setup test lint unit features mechanisms demo bench bench-cost regress binary proto clean

setup: $(STAMP)

$(STAMP): pyproject.toml requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --requirement requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation --editable .
	touch $(STAMP)

test: setup
	$(BIN)/python -m tests.run

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/lint-imports

unit: setup
	$(BIN)/python -m pytest -q tests

features: setup
	$(BIN)/behave

mechanisms: setup
	$(BIN)/python -m tests.mechanisms

demo: setup
	$(BIN)/python -m bench.demo

bench-cost: setup
	$(BIN)/python -m bench.cost

bench: setup
	$(BIN)/python -m bench.run $(BENCH)

regress:
	$(PYTHON) -m bench.regress $(FLEETBENCH) $(SITES) --days $(DAYS) --seeds $(SEEDS)

binary: setup
	$(BIN)/python -m bench.binary

proto: setup
	$(BIN)/python -m grpc_tools.protoc -I. --python_out=. --pyi_out=. --grpc_python_out=. stairquay/adapters/router.proto

clean:
	rm -rf $(VENV) build dist *.egg-info
