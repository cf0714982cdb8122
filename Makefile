CONFIG ?= example/config.json

.PHONY: build test lint run example faults

build:
	test .venv/built -nt requirements.txt || (python3 -m venv .venv && .venv/bin/pip -q install -r requirements.txt \
		&& touch .venv/built)

.venv-dev: requirements.txt requirements-extra.txt requirements-dev.txt
	python3 -m venv .venv-dev
	.venv-dev/bin/pip -q install -r requirements.txt -r requirements-dev.txt
	touch .venv-dev

test: .venv-dev
	.venv-dev/bin/python -m pytest -q -p no:cacheprovider

lint: .venv-dev
	.venv-dev/bin/ruff check ospreyvale tests example benchmarks lab
	.venv-dev/bin/ruff format --check ospreyvale tests example benchmarks lab
	.venv-dev/bin/mypy

run: build
	LB_CONFIG=$(CONFIG) .venv/bin/python -O -m ospreyvale

example: build
	.venv/bin/python -m example.try_it

# Long fault runs of the real program; CI plays ten short ones.
faults: .venv-dev
	.venv-dev/bin/python -m lab.faults --seeds 50 --seconds 20
