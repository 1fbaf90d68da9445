# Everything runs in .venv, which is made on first use with nothing but Python 3.11 and make.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready

.PHONY: test demo bench capacity soak lint features clean

# Workers of pytest-xdist. Some tests measure times and start processes of their own, so there are
# fewer workers than processors.
WORKERS ?= 4
test: $(READY)
	$(BIN)/python -m pytest --numprocesses $(WORKERS) --dist loadgroup
	$(BIN)/behave --no-capture --format progress

demo: $(READY)
	$(BIN)/python -m demo.run

bench: $(READY)
	$(BIN)/python -m bench.overload

capacity: $(READY)
	$(BIN)/python -m bench.capacity

# SEED=7 plays one seed again, SEEDS=50 a series of fresh ones.
SEEDS ?= 3
soak: $(READY)
	$(BIN)/python -m soak.run --seeds $(SEEDS) $(if $(SEED),--seed $(SEED))

lint: $(READY)
	$(BIN)/black --check --quiet .
	$(BIN)/ruff check .

$(READY): requirements.txt $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -qq --requirement requirements.txt
	$(BIN)/python -m pip install -qq --no-deps --editable packages/thorntray \
		--editable packages/thorntray-node --editable packages/thorntrayctl
	touch $(READY)

clean:
	rm -rf $(VENV)
