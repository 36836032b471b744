import pytest
from helpers import SECOND, ControlHarness, booking, lookup

from hollystage.control import MAX_REMEMBERED_CALLERS
from hollystage.interface import ActionKind, Halt, LoadSignal, MethodKind, Outcome, Pool, PoolConfig, Tenant
from hollystage.policy.buckets import BUCKETS, TICK, Client

START, REJECT, ABORT, HALT, JOIN, KEEP = (
    ActionKind.START, ActionKind.REJECT, ActionKind.ABORT, ActionKind.HALT, ActionKind.JOIN, ActionKind.KEEP)


def test_cascade_takes_tokens_from_the_innermost_bucket_with_one_and_all_outer_buckets():
    client = Client(None, lookup(latency_target=SECOND, deadline=3 * SECOND), 2.0, 0)
    assert BUCKETS == 2 and client.tokens == [4.0, 2.5 * 3]  # the first is the minimum capacity
    assert [client.classify(0) for _ in range(9)] == [1] * 4 + [2] * 3 + [3] * 2
    assert client.classify(SECOND) == 1


def test_more_critical_rpc_starts_first_among_equal_targets():
    harness = ControlHarness(lookup(), lookup(criticality=4.0))
    running = harness.fill()
    plain, critical = harness.send(), harness.send(harness.methods[1])
    harness.end(running[0])
    assert harness.did(plain) == [] and harness.did(critical) == [START] and critical.tag == harness.now + SECOND


@pytest.mark.parametrize("first, second", [(1, 3), (3, 1)])
def test_smallest_finish_tag_starts_first(first, second):
    methods = [lookup(latency_target=n * SECOND) for n in (1, 2, 3)]
    harness = ControlHarness(*methods)
    running = harness.fill(methods[1])
    queued = {n: harness.send(methods[n - 1]) for n in (first, second)}
    harness.end(running[0])
    assert harness.did(queued[1]) == [START] and harness.did(queued[3]) == []


@pytest.mark.parametrize("kind, again", [(MethodKind.IDEMPOTENT, None), (MethodKind.KEYED, None)])
@pytest.mark.parametrize("state", ["held", "running", "at call"])
def test_every_rpc_is_answered_by_its_due_time(kind, again, state):
    method = lookup(kind=kind, window=8 * SECOND)
    harness = ControlHarness(method, calls_out=2.0)
    running = harness.fill()
    rpc = harness.send() if state == "held" else running[0]
    if state == "at call":
        harness.at_call(rpc)
    harness.advance(6 * SECOND)
    answers = [a for a in harness.did(rpc) if a in (REJECT, ABORT)]
    ran_with_key = kind is MethodKind.KEYED and state != "held"
    assert len(answers) == 1 and (answers == [ABORT] if ran_with_key else True)


@pytest.mark.parametrize("timeout, is_retry, age", [
    (1000, False, 0),      # a first attempt
    (4000, True, 2000),    # a retry sends all the time that is left
    (4000, False, 2000),   # the same if it is not marked
    (500, True, 5500),     # little time is left
    (500, False, 5500),    # the same if it is not marked
    (1000, True, 0),       # the timeout of a first attempt, none of which was rejected here yet
])
def test_age_of_a_retry_is_estimated_from_its_timeout(timeout, is_retry, age):
    harness = ControlHarness()
    for n in range(12):
        harness.send(timeout=1000_000, caller=n)
    rpc = harness.send(timeout=timeout * 1000, is_retry=is_retry)
    assert rpc.target == harness.now + 2 * SECOND - age * 1000


def test_repeats_with_an_idempotency_key_run_once():
    harness = ControlHarness(booking())
    first = harness.send()
    assert harness.did(first) == [KEEP, START]
    assert harness.did(harness.send(earlier=first)) == [JOIN]
    harness.end(first)
    assert harness.did(harness.send(earlier=first)) == [JOIN]
    harness.fill()
    queued = harness.send()
    newer = harness.send(earlier=queued)
    assert harness.did(queued) == [KEEP, REJECT] and harness.did(newer) == [KEEP]


@pytest.mark.parametrize("memory, runs", [(10_000.0, True), (85.0, False)])
def test_rpc_is_not_run_without_memory_for_its_idempotency_key(memory, runs):
    harness = ControlHarness(booking(), memory=memory, run_factor=2.0, key_size=80.0)
    assert (START in harness.did(harness.send())) == runs


@pytest.mark.parametrize("cold, limit", [(False, 8), (True, 2)])
def test_rpcs_in_and_after_calls_count_towards_the_concurrency_limit(cold, limit):
    harness = ControlHarness(lookup(), calls_out=100.0, cold=cold, cold_from=0.1, warm_after=10 * SECOND)
    for _ in range(20):
        harness.at_call(harness.send())
    assert sum(harness.control.state_counts[state] for state in ("running", "calling", "waiting")) <= limit


@pytest.mark.parametrize("waited, runs", [(0, False), (SECOND, True)])
def test_rpc_that_arrives_after_the_drain_grace_is_not_run(waited, runs):
    harness = ControlHarness()
    harness.control.start_drain(5 * SECOND, harness.now)
    harness.now += 2 * SECOND + 1000
    assert (START in harness.did(harness.send(unread_time=waited))) == runs


def test_every_rpc_is_answered_before_the_end_of_a_drain():
    harness = ControlHarness(lookup(), booking())
    rpcs = harness.fill(harness.methods[0]) + [harness.send(harness.methods[1])]
    harness.control.start_drain(SECOND, harness.now)
    harness.advance(SECOND)
    assert all(REJECT in harness.did(r) or ABORT in harness.did(r) for r in rpcs)


@pytest.mark.parametrize("outcome, kind, share, expected", [
    (Outcome.FULL, MethodKind.IDEMPOTENT, 0.3, ActionKind.SKIP),
    (Outcome.TIMEOUT, MethodKind.IDEMPOTENT, 0.3, ActionKind.CALL),
    (Outcome.RESET, MethodKind.IDEMPOTENT, 0.3, ActionKind.CALL),
    (Outcome.TIMEOUT, MethodKind.KEYED, 0.3, ActionKind.SKIP),
    (Outcome.TIMEOUT, MethodKind.IDEMPOTENT, 0.0, ActionKind.CALL),
    (Outcome.TIMEOUT, MethodKind.NON_IDEMPOTENT, 0.0, ABORT),
    (Outcome.RESET, MethodKind.KEYED, 0.0, ABORT),
    (Outcome.FULL, MethodKind.KEYED, 0.0, ActionKind.CALL),
    (Outcome.CONNECT_FAILED, MethodKind.NON_IDEMPOTENT, 0.0, ActionKind.CALL),
])
def test_call_is_retried_only_if_it_may_be_repeated(outcome, kind, share, expected):
    harness = ControlHarness(lookup(kind=kind, skip_share=share, window=SECOND), calls_out=4.0)
    rpc = harness.send()
    harness.at_call(rpc)
    assert harness.end_call(rpc, outcome)[0].kind is expected


@pytest.mark.parametrize("lost, expected, lowered", [(1, ActionKind.CALL, False), (14, ActionKind.SKIP, True)])
def test_single_lost_replies_do_not_lower_the_call_limit_but_many_do(lost, expected, lowered):
    harness = ControlHarness(lookup(skip_share=0.3), calls_out=60.0, cores=16)
    for _ in range(10):
        rpc = harness.send()
        harness.at_call(rpc)
        harness.end_call(rpc, Outcome.OK, duration=8000)
        harness.end(rpc)
    limit, rpcs = harness.control.call_limit.value, harness.fill(count=lost)
    for rpc in rpcs:
        harness.at_call(rpc)
        # the call counts as lost at 30 times the usual duration, long before the target of two seconds
        assert next(a.duration for a in harness.actions if a.kind is ActionKind.CALL and a.rpc is rpc) == 240_000
    harness.now += 240_000
    assert [harness.end_call(rpc, Outcome.TIMEOUT)[0].kind for rpc in rpcs][-1] is expected
    assert (harness.control.call_limit.value < limit) == lowered
    if lowered:  # the dependency may be slow: later calls wait as long as they can
        rpc = harness.send()
        harness.at_call(rpc)
        assert next(a.duration for a in harness.actions if a.kind is ActionKind.CALL and a.rpc is rpc) > SECOND


@pytest.mark.parametrize("kind, halted", [(MethodKind.IDEMPOTENT, True), (MethodKind.KEYED, False)])
def test_work_of_a_disconnected_caller_is_halted_unless_a_repeat_may_join_it(kind, halted):
    harness = ControlHarness(lookup(kind=kind, window=SECOND))
    rpc = harness.send()
    harness.disconnect(rpc)
    assert (HALT in harness.did(rpc)) == halted


def test_hung_cores_are_reported_and_their_rpcs_rejected():
    harness = ControlHarness()
    running, queued = harness.fill(), harness.send(timeout=5 * SECOND)
    queued.target += 5 * SECOND
    # no hang is detected before the longest target has passed without progress
    assert not any(a.kind is ActionKind.HEALTH for a in harness.advance(2 * SECOND))
    assert any(a.kind is ActionKind.HEALTH and not a.flag for a in harness.advance(SECOND))
    assert REJECT in harness.did(queued) and REJECT in harness.did(running[0])
    assert harness.did(harness.send()) == [REJECT]
    harness.end(running[0])
    assert any(a.kind is ActionKind.HEALTH and a.flag for a in harness.advance(1))


def test_single_high_cost_does_not_reject_all_later_rpcs():
    harness = ControlHarness(lookup(latency_target=SECOND))
    slow = harness.send()
    harness.now += 3 * SECOND
    harness.end(slow)
    assert harness.did(harness.send()) == [START]


@pytest.mark.parametrize("runnable, runs", [(8.0, 4), (40.0, 2)])  # the run limit decays too
def test_other_runnable_threads_lower_the_run_limit_down_to_the_number_of_cores(runnable, runs):
    harness = ControlHarness(lookup(latency_target=60 * SECOND, deadline=90 * SECOND))
    sent = harness.fill(count=30)
    harness.advance(SECOND, cores=0.5, crowd=1.0)
    first = [rpc for rpc in sent if START in harness.did(rpc)]
    harness.advance(SECOND, crowd=runnable)
    for rpc in first:
        harness.end(rpc)
    assert len(first) == 8 and sum(START in harness.did(rpc) for rpc in sent) - len(first) == runs


@pytest.mark.parametrize("callers, shortest", [(3, False), (1000, True)])
def test_idle_limit_is_long_for_returning_callers(callers, shortest):
    harness = ControlHarness(max_idle=30 * SECOND)
    for n in range(1000):
        harness.end(harness.send(caller=n % callers))
        if n % 100 == 0:
            harness.advance(SECOND, cores=0.5, crowd=0.0)
    spans = [a.duration for a in harness.actions if a.kind is ActionKind.IDLE_LIMIT]
    assert (spans[-1] < SECOND) if shortest else spans[-1] > 10 * SECOND
    harness.send(caller=0)
    assert len(harness.control.last_seen) <= MAX_REMEMBERED_CALLERS


def test_connections_are_kept_while_rpcs_are_read_late():
    harness = ControlHarness(max_idle=30 * SECOND)
    for unread_time, late in ((0, False), (SECOND, True), (100_000, True), (0, False)):
        for n in range(40):
            harness.send(caller=n, unread_time=unread_time)
            harness.advance(200_000, crowd=0.0)
        assert (harness.control.idle_limit == 30 * SECOND) == late, unread_time
        harness.control.last_seen.clear()


def test_retry_with_the_timeout_of_a_first_attempt_has_the_age_of_rejected_ones():
    harness = ControlHarness()
    for _ in range(4):
        harness.send(timeout=SECOND, unread_time=2 * SECOND)  # read too late
    assert harness.send(timeout=3 * SECOND, is_retry=True).target < harness.now + SECOND


@pytest.mark.parametrize("criticality, runs", [(1.0, False), (10.0, True)])
def test_critical_rpc_starts_even_if_it_may_just_fit_its_target(criticality, runs):
    harness = ControlHarness(lookup(criticality=criticality), lookup())
    harness.control.run_times[harness.methods[0]].add(1000 * SECOND, harness.now, 1000)
    running = harness.fill(harness.methods[1])
    rpc = harness.send(unread_time=1200_000)
    harness.end(running[0])
    assert (START in harness.did(rpc)) == runs


def test_rejection_advises_when_a_slot_is_likely_free():
    harness = ControlHarness()
    harness.fill()
    rpc = harness.send(unread_time=2 * SECOND)
    assert [0 < a.duration < SECOND for a in harness.actions if a.rpc is rpc and a.kind is REJECT] == [True]


@pytest.mark.parametrize("cores, narrower", [(0.5, False), (1.0, True)])
def test_window_signal_narrows_only_at_full_cores(cores, narrower):
    harness = ControlHarness(load_signal=LoadSignal.WINDOW)
    harness.advance(SECOND, cores=0.5)
    for _ in range(20):
        harness.send(unread_time=2 * SECOND)
        harness.advance(1, cores=cores)
    assert (harness.control.admit_level < 1) == narrower


def test_cores_that_hang_while_reading_are_reported_until_an_rpc_is_read():
    harness = ControlHarness()
    assert not any(a.kind is ActionKind.HEALTH for a in harness.advance(2 * SECOND, crowd=0.0))
    assert any(a.kind is ActionKind.HEALTH and not a.flag for a in harness.advance(3 * SECOND, crowd=2.0))
    assert START in harness.did(harness.send())


def test_no_call_is_made_for_an_rpc_that_ended_while_waiting_for_the_call_limit():
    harness = ControlHarness(lookup(), calls_out=1.0)
    harness.advance(4 * SECOND)  # the pacer delays the first call
    first, second = harness.fill()
    harness.at_call(first)
    harness.at_call(second)
    harness.disconnect(second)
    harness.end_call(first, Outcome.OK)
    assert ActionKind.CALL in harness.did(first) and ActionKind.CALL not in harness.did(second)


@pytest.mark.parametrize("criticality, skipped", [(0.8, True), (0.6, False)])
def test_waiting_call_is_skipped_while_a_more_valuable_rpc_needs_its_own(criticality, skipped):
    """Without its call the first RPC loses 0.7 of its criticality of 1."""
    harness = ControlHarness(lookup(skip_share=0.3), lookup(criticality=criticality), calls_out=1.0, cores=4)
    harness.advance(4 * SECOND)
    calling, skippable, other = [harness.send(harness.methods[number]) for number in (0, 0, 1)]
    for rpc in (calling, skippable):
        harness.at_call(rpc)
    assert ActionKind.CALL in harness.did(calling) and ActionKind.SKIP not in harness.did(skippable)
    harness.at_call(other)
    assert (ActionKind.SKIP in harness.did(skippable)) is skipped
    harness.end_call(calling, Outcome.OK)
    harness.advance(SECOND)
    assert ActionKind.CALL in harness.did(other if skipped else skippable)


@pytest.mark.parametrize("pooling", [None, PoolConfig((Pool("all", 1.0),), (0,))])
def test_call_limit_below_one_is_kept_on_average(pooling):
    harness = ControlHarness(lookup(), calls_out=0.5, pooling=pooling)
    harness.advance(4 * SECOND)
    first, second = harness.fill()
    harness.at_call(first)
    before = harness.control.call_limit.value
    harness.now += 200_000
    harness.end_call(first, Outcome.OK, duration=200_000)
    harness.at_call(second)
    pause = 200_000 * (1 - before) / harness.control.call_limit.value  # until the first call's debt is zero
    harness.advance(int(pause) - 2 * TICK)
    assert ActionKind.CALL not in harness.did(second)
    harness.advance(3 * TICK)
    assert ActionKind.CALL in harness.did(second)


@pytest.mark.parametrize("share, timeout", [(0.2, 500_000), (40.0, 0)])
def test_call_timeout_is_bounded_by_the_limit_times_the_averaging_span(share, timeout):
    harness = ControlHarness(lookup(latency_target=5 * SECOND), calls_out=share, call_averaging_span=5 * SECOND)
    harness.advance(30 * SECOND)
    rpc, _ = harness.fill()
    harness.at_call(rpc)
    (call,) = [action for action in harness.actions if action.kind is ActionKind.CALL]
    assert call.duration == timeout if timeout else call.duration > SECOND


@pytest.mark.parametrize("skip_share, rejected", [(0.0, True), (0.3, False)])
def test_usual_wait_for_calls_counts_before_a_start_unless_the_call_can_be_skipped(skip_share, rejected):
    harness = ControlHarness(lookup(skip_share=skip_share), calls_out=40.0)
    for _ in range(20):
        rpc = harness.send()
        harness.control.typical_call = 50_000
        rpc.off_core_time = 2_200_000  # it waited longer than its target for a call
        harness.now += TICK
        harness.end(rpc)
    harness.fill()
    queued = harness.send()
    assert (REJECT in harness.did(queued)) is rejected


def test_method_without_criticality_gets_no_rate_and_does_not_break_the_update():
    worthless = lookup(criticality=0.0)
    harness = ControlHarness(lookup(), worthless)
    harness.send(worthless)
    harness.send()
    harness.advance(2 * SECOND)  # the rates are updated
    assert harness.control.clients[None, harness.methods[0]].rho > 0 == harness.control.clients[None, worthless].rho
    only = ControlHarness(worthless)
    only.send()
    only.advance(2 * SECOND)


def test_old_cost_is_forgotten_while_other_methods_fill_the_cores():
    quick, slow = lookup(latency_target=8 * SECOND), lookup(latency_target=SECOND)
    harness = ControlHarness(quick, slow)
    rpc = harness.send(slow)
    harness.now += 3 * SECOND
    harness.end(rpc)
    harness.advance(SECOND // 20)
    harness.fill(quick)
    assert harness.did(harness.send(slow)) == [REJECT]
    harness.now += 20 * SECOND
    assert harness.did(harness.send(slow)) == []


def test_runs_on_hung_cores_do_not_count_as_costs():
    harness = ControlHarness()
    running = harness.fill()
    harness.advance(3 * SECOND)
    for rpc in running:
        harness.end(rpc)
    assert harness.control._usual_cost(harness.methods[0]) < SECOND // 10


@pytest.mark.parametrize("critical, runs", [(True, True), (False, False)])
def test_only_the_least_critical_need_a_cost_margin_while_many_rpcs_are_rejected(critical, runs):
    harness = ControlHarness(lookup(latency_target=SECOND), booking(latency_target=SECOND))
    method = harness.methods[critical]
    rpc = harness.send(method)
    harness.now += 1_100_000
    harness.end(rpc)
    for _ in range(9):
        harness.send(unread_time=2 * SECOND)
    harness.advance(1, cores=1.0)
    assert (START in harness.did(harness.send(method))) == runs


@pytest.mark.parametrize("memory, queued, started", [(10_000.0, 6, 2), (150.0, 4, 1), (60.0, 5, 0)])
def test_memory_limits_queued_and_started_rpcs(memory, queued, started):
    harness = ControlHarness(memory=memory)
    rpcs = [harness.send() for _ in range(8)]
    assert sum(START in harness.did(r) for r in rpcs) == started
    assert harness.control.state_counts["held"] == queued


@pytest.mark.parametrize("halt, expected", [
    (Halt.NONE, [ABORT]), (Halt.ABORT, [ABORT, HALT]), (Halt.SUSPEND, [ABORT, HALT]),
])
def test_overdue_work_is_halted_if_the_interpreter_can(halt, expected):
    harness = ControlHarness(lookup(kind=MethodKind.NON_IDEMPOTENT), halt=halt)
    rpc = harness.send()
    harness.advance(6 * SECOND)
    assert harness.did(rpc) == [START, *expected]


@pytest.mark.parametrize("load_signal, initial, lowered", [
    (LoadSignal.THRESHOLD, 0.0, lambda value: 0.3 < value <= 0.5),
    (LoadSignal.WINDOW, 8.0, lambda value: value < 2.0),
    (LoadSignal.SHARE, 1.0, lambda value: value < 0.7),
])
def test_every_load_signal_drops_while_the_queue_is_long(load_signal, initial, lowered):
    harness = ControlHarness(lookup(latency_target=SECOND), booking(latency_target=SECOND), load_signal=load_signal)
    assert [a.value for a in harness.advance(SECOND // 20) if a.kind is ActionKind.LOAD_SIGNAL] == [initial]
    running = harness.fill()
    for _ in range(40):
        for _ in range(8):
            harness.send(unread_time=200_000)
        harness.advance(SECOND // 20)
        harness.end(running.pop())
        running = [rpc for rpc in harness.start_times if rpc.state == "running"]
    assert lowered([a.value for a in harness.actions if a.kind is ActionKind.LOAD_SIGNAL][-1]) and (
        not harness.control.cores_hung)


def test_abandoned_calls_count_while_they_linger():
    harness = ControlHarness(lookup(skip_share=0.3), calls_out=1.0, linger=SECOND // 2)
    harness.advance(4 * SECOND)
    first, second = harness.fill()
    harness.at_call(first)
    harness.end_call(first, Outcome.TIMEOUT)
    harness.disconnect(first)
    harness.at_call(second)
    harness.advance(SECOND // 2 - TICK)
    assert ActionKind.CALL not in harness.did(second)
    harness.advance(SECOND)
    assert ActionKind.CALL in harness.did(second)


def test_outermost_class_is_rejected_until_cpu_falls_below_the_lower_threshold():
    harness = ControlHarness()
    harness.fill()
    queued = [harness.send() for _ in range(20)]
    harness.control.clients[None, harness.methods[0]].tokens[0] = -100.0
    assert REJECT not in harness.did(queued[-1])
    for cores, rejected in [(0.9, False), (0.96, True), (0.9, True), (0.8, False)]:
        harness.advance(1, cores=cores)
        assert (REJECT in harness.did(harness.send())) == rejected


@pytest.mark.parametrize("beyond", [Tenant(0.5), None])  # None: an RPC of no known tenant
def test_tenant_beyond_its_quota_gets_a_lower_rate(beyond):
    inside = Tenant(1000.0)
    harness = ControlHarness(tenants=[inside, beyond or Tenant(0.5)], over_quota_worth=0.1)
    for _ in range(300):
        for tenant in (inside, beyond):
            harness.send(tenant=tenant)
    harness.control._update_rates()
    rates = [harness.control.clients[tenant, harness.methods[0]].rho for tenant in (inside, beyond)]
    assert rates[0] > 3 * rates[1] > 0


@pytest.mark.parametrize("over_quota_worth", [0.1, 0.0])
def test_rpc_within_its_quota_starts_before_earlier_ones_beyond_theirs(over_quota_worth):
    inside, beyond = Tenant(1000.0), Tenant(0.5)
    harness = ControlHarness(tenants=[inside, beyond], over_quota_worth=over_quota_worth, memory=1e6)
    first, *_ = [harness.send(tenant=tenant) for tenant in [inside] + 20 * [beyond]]
    harness.control._update_rates()
    assert harness.send(tenant=beyond).level == 1
    harness.now += SECOND // 2
    rpc = harness.send(tenant=inside)
    harness.end(first)
    assert rpc in harness.start_times


def test_time_of_halted_runs_counts_as_cost():
    harness = ControlHarness(lookup(latency_target=SECOND, deadline=SECOND), lookup())
    halted, other = harness.fill(harness.methods[0], 1)[0], harness.methods[1]
    for _ in range(20):
        rpc = harness.send(other)
        harness.advance(SECOND // 20)
        harness.end(rpc)
    assert HALT in harness.did(halted)
    harness.end(halted, Outcome.CANCELLED)
    assert harness.control._usual_cost(harness.methods[0]) > SECOND // 2


@pytest.mark.parametrize("changes", [
    {"cores": 1}, {"halt": Halt.NONE, "max_retry_after": 0}, {"calls_out": 0.2}, {"load_signal": LoadSignal.SHARE}])
def test_each_of_many_callers_is_answered_once_with_unusual_settings(changes):
    harness = ControlHarness(lookup(), booking(kind=MethodKind.NON_IDEMPOTENT), **changes)
    sent = [harness.send(harness.methods[n % 2], caller=n) for n in range(100)]
    harness.advance(SECOND)
    for rpc in sent:
        if START in harness.did(rpc) and rpc.state == "running":
            harness.end(rpc)
    harness.advance(8 * SECOND)
    assert all(rpc.state == "over" or rpc.answered for rpc in sent)
    assert all(harness.did(rpc).count(START) <= 1 for rpc in sent)
    assert all(REJECT not in harness.did(rpc) for rpc in sent[1::2] if rpc.ran)


@pytest.mark.parametrize("tier, calls_out, paused", [(False, 0.0, True), (True, 0.0, False), (False, 4.0, False)])
def test_calls_to_a_downstream_tier_without_a_share_are_not_paused(tier, calls_out, paused):
    harness = ControlHarness(lookup(), calls_out=calls_out, downstream_tier=tier)
    first, second = harness.fill()
    harness.at_call(first)
    harness.end_call(first, Outcome.OK, duration=200_000)
    harness.at_call(second)
    assert (ActionKind.CALL not in harness.did(second)) is paused


@pytest.mark.parametrize("time_left, until_due", [(3 * SECOND, False), (SECOND // 5, True)])
def test_call_that_cannot_end_before_the_target_may_take_until_the_due_time(time_left, until_due):
    harness = ControlHarness(lookup(latency_target=SECOND, deadline=6 * SECOND), calls_out=4.0)
    warm = harness.send()
    harness.at_call(warm)
    harness.end_call(warm, Outcome.OK, duration=100_000)
    harness.end(warm)
    rpc = harness.send(timeout=0)
    rpc.target = harness.now + time_left
    harness.at_call(rpc)
    timeout = [a.duration for a in harness.actions if a.rpc is rpc and a.kind is ActionKind.CALL][0]
    assert (timeout > time_left) is until_due


@pytest.mark.parametrize("hint, rejected", [(100_000, False), (4_000_000, True)])
def test_rejects_rpc_whose_work_hint_does_not_fit_its_target(hint, rejected):
    harness = ControlHarness(lookup(latency_target=2 * SECOND))
    for _ in range(4):  # runs take as long as their hints
        rpc = harness.send(work_hint=200_000)
        harness.now += 200_000
        harness.end(rpc)
    harness.fill()
    rpc = harness.send(work_hint=hint)
    assert (REJECT in harness.did(rpc)) is rejected


@pytest.mark.parametrize("per_work, equal", [(False, False), (True, True)])
def test_criticality_per_work_gives_long_and_short_methods_the_same_value_of_core_time(per_work, equal):
    short, long = lookup(latency_target=8 * SECOND), lookup(latency_target=8 * SECOND)
    harness = ControlHarness(short, long, criticality_per_work=per_work)
    for method, cost in ((short, 50_000), (long, 800_000)):
        for _ in range(6):
            rpc = harness.send(method)
            harness.now += cost
            harness.end(rpc)
    for _ in range(400):  # far more of both methods than the cores can take
        harness.send(short)
        harness.send(long)
    harness.advance(SECOND)
    rates = {c.method: c.rho / c.arrivals.read(harness.now) for c in harness.control.clients.values()}
    assert (rates[long] > 0.8 * rates[short]) is equal


def test_run_limit_grows_while_cores_idle_and_decays_under_load():
    harness = ControlHarness(cores=2)
    harness.fill(count=12)
    harness.advance(SECOND // 5, cores=0.5, crowd=1.0)  # the runs wait for disk
    grown = harness.control.run_limit
    assert grown >= 5 and harness.control.state_counts["held"] > 0
    harness.advance(SECOND, cores=1.0, crowd=6.0)
    assert harness.control.state_counts["held"] > 0 and 2 <= harness.control.run_limit < 2 + (grown - 2) * 0.5


@pytest.mark.parametrize("retries, redirected", [(0, 21), (90, 1)])
def test_rejections_advise_a_retry_elsewhere_unless_peers_are_overloaded_too(retries, redirected):
    harness = ControlHarness(lookup(latency_target=SECOND // 2), memory=200.0)
    for n in range(90):
        harness.send(is_retry=n < retries)
    # without marked retries a quarter of all RPCs, nearly all of which are rejected, may retry elsewhere
    flags = [a.flag for a in harness.actions if a.kind is REJECT]
    assert len(flags) > 80 and flags[-1] and abs(flags.count(False) - redirected) <= 3


@pytest.mark.parametrize("hint, healthy", [(4 * SECOND, True), (SECOND // 10, False)])
def test_long_run_announced_by_its_hint_is_no_hang(hint, healthy):
    harness = ControlHarness(lookup(latency_target=SECOND, deadline=90 * SECOND))
    for _ in range(3):  # runs take as long as their hints
        quick = harness.send(work_hint=SECOND // 10)
        harness.now += SECOND // 10
        harness.end(quick)
    harness.send(work_hint=hint)
    harness.advance(3 * SECOND, cores=0.5, crowd=1.0)
    assert harness.control.healthy is healthy


@pytest.mark.parametrize("with_tenant, level, starts", [(True, 1, True), (True, 2, False), (False, 1, False)])
def test_rpc_within_its_quota_needs_no_margin_and_may_retry_elsewhere_under_rejection(with_tenant, level, starts):
    tenant = Tenant(10.0) if with_tenant else None
    harness = ControlHarness(lookup(latency_target=SECOND), tenants=[tenant] if with_tenant else [], memory=400.0)
    for _ in range(20):
        harness.control.run_times[harness.methods[0]].add(9 * SECOND // 10, harness.now)
    for _ in range(5):  # no memory for these: many are rejected, here and elsewhere
        harness.send(tenant=tenant, size=500.0, is_retry=True)
        harness.now += 2 * SECOND
    sent = [harness.send(tenant=tenant, size=500.0, is_retry=True) for _ in range(60)]
    rpc = next(rpc for rpc in sent[1:] if (rpc.level == 1) is (level == 1))
    rpc.target = harness.now + 8 * SECOND // 10
    assert harness.control._misses_target(rpc) is not starts
    assert [a.flag for a in harness.actions if a.rpc is rpc] == [not starts]
