# Methods that several plans share.
HOLD_DEADLINE = 2s

def lookup(name, skip_share = 30%):
    method(name, kind = "idempotent", target = 900ms, deadline = 3s, skip_share = skip_share)

def hold(name, criticality = 2):
    method(
        name,
        kind = "tokened",
        target = 600ms,
        deadline = HOLD_DEADLINE,
        window = 4 * HOLD_DEADLINE,
        criticality = criticality,
    )
