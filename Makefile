# Targets: demo, test, bench, soak, generate, build.

export GOFLAGS = -buildvcs=false
BIN := bin
PACKAGES := ./... ./api/...

.PHONY: build demo test bench soak soak-short generate events format lint vet unit

build:
	go build -o $(BIN)/ ./cmd/...
	go build -o $(BIN)/soak ./test/soak

$(BIN)/golangci-lint: tools/lint/go.mod
	cd tools/lint && GOWORK=off go build -o ../../$(BIN)/golangci-lint github.com/golangci/golangci-lint/v2/cmd/golangci-lint

$(BIN)/buf: tools/generate/go.mod
	cd tools/generate && GOWORK=off go build -o ../../$(BIN)/ github.com/bufbuild/buf/cmd/buf google.golang.org/protobuf/cmd/protoc-gen-go

# gopls renames identifiers with all their uses: bin/gopls rename -w FILE:LINE:COLUMN NEWNAME.
$(BIN)/gopls: tools/rename/go.mod
	cd tools/rename && GOWORK=off go build -o ../../$(BIN)/gopls golang.org/x/tools/gopls

# generate lints api/proto and generates the Go code from it.
generate: $(BIN)/buf
	cd api && ../$(BIN)/buf lint && ../$(BIN)/buf generate

format:
	@unformatted=$$(gofmt -l api cmd internal platform test); \
	if [ -n "$$unformatted" ]; then echo "not formatted, run gofmt -w:"; echo "$$unformatted"; exit 1; fi

lint: $(BIN)/golangci-lint
	$(BIN)/golangci-lint run $(PACKAGES)

vet:
	go vet $(PACKAGES)

unit:
	scripts/unit.sh

# test checks the formatting and runs the linter, vet, all tests with the race detector and a short soak.
test: format lint vet unit soak-short

bench:
	go test -run '^$$' -bench . -benchmem $(PACKAGES)

# events generates docs/EVENTS.md from the catalogue in internal/events.
events:
	go test ./internal/events -run TestPageMatchesCatalogue -update

# demo runs a short soak on loopback in which instances are killed and terminated.
demo: build
	scripts/demo.sh

# soak runs instances under a seeded sequence of faults: make soak SEED=7 TIME=120s FLAGS=--capacity.
SEED ?= 1
TIME ?= 60s
FLAGS ?=
soak: build
	$(BIN)/soak --seed $(SEED) --time $(TIME) $(FLAGS)

# soak-short injects every fault at least once. Properties with a time limit are printed but don't affect the result.
soak-short: build
	$(BIN)/soak --seed 1 --time 30s --safety --capacity
