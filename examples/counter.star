# The instance that `hollystage demo` runs.
# Times, sizes, rates and shares are written with units; `hollystage config check` reports errors.
load("shared/promises.star", "HOLD_DEADLINE", "hold", "lookup")

instance("counter-1", stop = 1500ms)
listener("127.0.0.1:8080")
interpreter("127.0.0.1:9300")
control("127.0.0.1:8500")
ledger("main", "127.0.0.1:7700")
process(memory = 96MiB, sockets = 512)

machine(
    cores = 4,
    memory = 12MiB,
    run_factor = 8,
    key = 8KiB,
    halt = "abort",
    say = "threshold",
    calls_out = 40,
    linger = 200ms,
    gauges = ["cores", "crowd"],
    idle = 30s,
)
rules(fall_multiple = 5, drain_grace = 300ms, warm_after = HOLD_DEADLINE)
refusals(retry_after = True, longest = 1s)

lookup("rates")
lookup("fleet-view", skip_share = 0%)
hold("car-hold")
