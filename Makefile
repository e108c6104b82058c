PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: install demo demo-serve test lint bench clean

# The stamp file lets later runs skip the installation until a dependency file
# changes.
$(VENV)/.installed: requirements.lock pyproject.toml
	@test -x $(BIN)/python || $(PYTHON) -m venv $(VENV) >&2
	@$(BIN)/pip install -qq --requirement requirements.lock >&2
	@$(BIN)/pip install -qq --no-deps --no-build-isolation --editable . >&2
	@touch $@

install: $(VENV)/.installed

demo: install
	@$(BIN)/python -m demo.run

demo-serve: install
	@exec $(BIN)/python -m demo.serve

test: install
	@$(BIN)/python -m tests

lint: install
	@$(BIN)/ruff format --check .
	@$(BIN)/ruff check .
	@$(BIN)/mypy

bench: install
	@$(BIN)/python -m bench.run

clean:
	rm -rf $(VENV) .demo .mypy_cache .ruff_cache
