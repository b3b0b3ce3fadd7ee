.PHONY: build demo test lint unit race bench capacity

build:
	@mkdir -p bin
	go build -o bin/ ./cmd/...

# Runs the main job on loopback; exit status 0 when every step held.
demo: build
	scripts/demo.sh

# Formatter, vet, staticcheck and all tests, but for those in KNOWN-RED.txt.
test: lint unit race

lint:
	@unformatted=$$(gofmt -l cmd internal test); \
	if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...

unit:
	@skip=$$(scripts/known-red.sh) && go test -timeout 4m "$${skip:--skip=^$$}" ./...

race:
	@skip=$$(scripts/known-red.sh) && go test -timeout 4m -race "$${skip:--skip=^$$}" ./internal/daemon/... ./internal/link/... ./internal/api/... ./internal/backend/...

# Starts per second and processor time per task, with the floor beside it.
bench: build
	scripts/bench.sh

# The slopes of docs/CAPACITY.md.
capacity: build
	scripts/capacity.sh
