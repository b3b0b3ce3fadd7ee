.PHONY: build demo test lint unit race bench capacity soak fleet-soak mutants

build:
	@mkdir -p bin
	go build -o bin/ ./cmd/...

# Runs the main use case on loopback. Exit status 0 if every step had the expected
# status.
demo: build
	scripts/demo.sh

# Formatter, vet, staticcheck and all tests, except those listed in KNOWN-RED.txt.
test: lint unit race

lint:
	@unformatted=$$(gofmt -l cmd internal platform test); \
	if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...

unit:
	@skip=$$(scripts/known-red.sh) && go test -timeout 4m "$${skip:--skip=^$$}" ./...

race:
	@skip=$$(scripts/known-red.sh) && go test -timeout 4m -race "$${skip:--skip=^$$}" ./internal/daemon/... ./internal/link/... ./internal/api/... ./internal/backend/...

# Measures starts per second and processor time per task, and the floor (bare POST
# requests).
bench: build
	scripts/bench.sh

# Measures the slopes listed in docs/CAPACITY.md.
capacity: build
	scripts/capacity.sh

# Randomised runs with seeds from the clock, for the duration in LW_SOAK. Each
# seed is printed before its run; LW_SEED=N go test ./internal/emulator -run TestOneSeed
# repeats one.
soak:
	LW_SOAK=$${LW_SOAK:-10m} go test ./internal/emulator ./internal/control ./internal/fleet -run TestSoak -count=1 -v -timeout 0

# Randomised runs with real processes, with the range of seeds (FIRST-LAST) in
# LW_FLEET_SEEDS.
fleet-soak:
	LW_FLEET_SEEDS=$${LW_FLEET_SEEDS:-1-10} go test ./platform -run TestSoakSeeds -count=1 -v -timeout 0

# Requires the tests to fail on mutants of the code. Takes about a minute.
mutants:
	scripts/mutants.sh
