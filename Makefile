# Targets for users and for CI; everything but Go and make is fetched by Go.
GOBIN := $(CURDIR)/bin
export GOFLAGS := -buildvcs=false

.PHONY: build demo demo-portal test faults measure generate lint

build:
	go build -o $(GOBIN)/ledgesill .
	go build -o $(GOBIN)/demo ./contrib/demo

demo: build
	contrib/demo/run.sh $(GOBIN) flagpost

demo-portal: build
	contrib/demo/run.sh $(GOBIN) portal

test:
	RAPID_SEED=1 RAPID_NOFAILFILE=1 go test ./...
