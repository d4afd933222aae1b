PYTHON ?= python3.11
VENV := .venv
RUN := PYTHONPATH=src $(VENV)/bin/python

$(VENV)/.done: requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $@

.PHONY: setup demo test check fuzz measure capacity binary clean

setup: $(VENV)/.done

demo: setup
	$(RUN) -m rhubarbspan demo
	$(RUN) -m rhubarbspan demo --platform

check: setup
	$(VENV)/bin/ruff format --check src tests
	$(VENV)/bin/ruff check src tests
	cd src && ../$(VENV)/bin/python -m mypy --config-file ../pyproject.toml rhubarbspan

test: check dist/rhubarbspan
	$(RUN) -m pytest -n 7 --dist loadgroup

dist/rhubarbspan: requirements.txt pyproject.toml $(shell find src -name '*.py') | setup
	@mkdir -p dist
	$(VENV)/bin/shiv --quiet --compressed --root /tmp/rhubarbspan-cache \
		--python '/usr/bin/env python3.11' --console-script rhubarbspan \
		--output-file $@ --no-build-isolation . -r requirements.txt

binary: dist/rhubarbspan

clean:
	rm -rf $(VENV) build dist

SCENARIOS := steady noisy killed region_lost region_gone store_down region_cut shift drain old_system
MEASURED := build/measure/scarcity-order.json $(foreach s,store_down shift $(filter-out store_down shift,$(SCENARIOS)) choice,$(foreach d,parrilla tamarind,build/measure/$d-$s.json))

build/measure/%.json: setup
	@mkdir -p $(@D)
	@$(RUN) -m rhubarbspan.measure run $(subst -, ,$*) > $@

build/measure/scarcity-order.json: setup
	@mkdir -p $(@D)
	@$(RUN) -m rhubarbspan.measure order > $@

build/measure/%-choice.json: setup
	@mkdir -p $(@D)
	@$(RUN) -m rhubarbspan.measure choice $* > $@

measure:
	@rm -rf build/measure
	@$(MAKE) --no-print-directory -j 8 $(MEASURED)
	@$(RUN) -m rhubarbspan.measure table $(MEASURED) | tee docs/MEASURED.txt
	@PYTHONPATH=src:tests $(VENV)/bin/python tests/uncontrolled_report.py | tee -a docs/MEASURED.txt

fuzz: setup
	FUZZ_EXAMPLES=600 FUZZ_STEPS=60 $(RUN) -m pytest tests/test_fuzz.py

capacity: setup
	@{ $(RUN) -m rhubarbspan.measure.capacity; echo; $(RUN) -m rhubarbspan.measure.proxy; } | tee docs/CAPACITY.txt
