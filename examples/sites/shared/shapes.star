# Settings that the sites of one family share. Each site passes the size of its fleet.

def reservations(cores, peers, cold = False):
    machine(
        cores = cores,
        memory = cores * 3MiB,
        run_factor = 8,
        key = 6KiB,
        cold = cold,
        halt = "abort",
        say = "threshold",
        calls_out = cores * 6,
        linger = 250ms,
        gauges = ["cores", "crowd", "connections"],
        idle = 25s,
    )
    rules(fall_multiple = 4, drain_grace = 1.5s, cold_from = 40%, warm_after = 12s)
    refusals(retry_after = True, longest = 2s)
    fleet(instances = peers)
    method("quote", kind = "idempotent", target = 2s, deadline = 6s, skip_share = 25%)
    method("hold", kind = "tokened", target = 700ms, deadline = 1.8s, window = 7s, criticality = 2)

def returns(cores, peers, cold = False):
    machine(
        cores = cores,
        memory = cores * 5MiB,
        run_factor = 12,
        key = 4KiB,
        cold = cold,
        halt = "abort",
        say = "window",
        calls_out = cores * 4,
        linger = 100ms,
        gauges = ["cores", "crowd", "memory"],
        idle = 20s,
    )
    rules(fall_multiple = 7, drain_grace = 2s, cold_from = 50%, warm_after = 9s)
    refusals(retry_after = True, longest = 1.5s)
    fleet(instances = peers)
    method("charge", kind = "idempotent", target = 1.9s, deadline = 5s, skip_share = 25%)
    method(
        "record",
        kind = "tokened",
        target = 900ms,
        deadline = 2.2s,
        window = 7s,
        criticality = 2,
    )

def oneway(cores, peers, quotas, cold = False):
    machine(
        cores = cores,
        memory = cores * 2MiB,
        run_factor = 5,
        cold = cold,
        halt = "suspend",
        say = "share_of",
        gauges = ["cores", "crowd"],
        idle = 28s,
    )
    rules(fall_multiple = 7, drain_grace = 1.5s, cold_from = 45%, warm_after = 10s)
    refusals(retry_after = True, longest = 1s)
    fleet(instances = peers, over_share = 35%)
    for name, quota in quotas.items():
        tenant(name, quota = quota)
    for name in ["price", "stock"]:
        method(name, kind = "idempotent", target = 1.6s, deadline = 4s)
    method("book", kind = "non-idempotent", target = 1.6s, deadline = 4s, criticality = 8)
