import pytest
from helpers import SECOND, Box, booking, lookup

from hollystage.control import CALLERS
from hollystage.interface import Do, Halt, Kind, Outcome, Pool, Pooling, Say, Tenant
from hollystage.policy.buckets import BUCKETS, TICK, Client

START, PUSH_BACK, ABORT, HALT, JOIN, KEEP = Do.START, Do.PUSH_BACK, Do.ABORT, Do.HALT, Do.JOIN, Do.KEEP


def test_cascade_takes_from_the_smallest_bucket_with_a_token_and_all_outer_ones():
    client = Client(None, lookup(latency_target=SECOND, deadline=3 * SECOND), 2.0, 0)
    assert BUCKETS == 2 and client.tokens == [4.0, 2.5 * 3]  # four at least
    assert [client.classify(0) for _ in range(9)] == [1] * 4 + [2] * 3 + [3] * 2
    assert client.classify(SECOND) == 1


def test_of_rpcs_due_alike_the_more_critical_starts_first():
    box = Box(lookup(), lookup(criticality=4.0))
    running = box.fill()
    plain, critical = box.send(), box.send(box.methods[1])
    box.end(running[0])
    assert box.did(plain) == [] and box.did(critical) == [START] and critical.tag == box.now + SECOND


@pytest.mark.parametrize("first, second", [(1, 3), (3, 1)])
def test_smallest_finish_tag_starts_first(first, second):
    methods = [lookup(latency_target=n * SECOND) for n in (1, 2, 3)]
    box = Box(*methods)
    running = box.fill(methods[1])
    held = {n: box.send(methods[n - 1]) for n in (first, second)}
    box.end(running[0])
    assert box.did(held[1]) == [START] and box.did(held[3]) == []


@pytest.mark.parametrize("kind, again", [(Kind.IDEMPOTENT, None), (Kind.TOKENED, None)])
@pytest.mark.parametrize("state", ["held", "running", "at call"])
def test_all_that_was_read_is_answered_by_its_due_time(kind, again, state):
    method = lookup(kind=kind, window=8 * SECOND)
    box = Box(method, calls_out=2.0)
    running = box.fill()
    rpc = box.send() if state == "held" else running[0]
    if state == "at call":
        box.at_call(rpc)
    box.wait(6 * SECOND)
    answers = [a for a in box.did(rpc) if a in (PUSH_BACK, ABORT)]
    ran_tokened = kind is Kind.TOKENED and state != "held"
    assert len(answers) == 1 and (answers == [ABORT] if ran_tokened else True)


@pytest.mark.parametrize("patience, further, age", [
    (1000, False, 0),      # a first try
    (4000, True, 2000),    # a later one gets all that is left
    (4000, False, 2000),   # so where it is not marked
    (500, True, 5500),     # nearly nothing is left
    (500, False, 5500),    # marked or not
    (1000, True, 0),       # like a first one, and none was turned away here yet
])
def test_age_of_a_further_try(patience, further, age):
    box = Box()
    for n in range(12):
        box.send(patience=1000_000, caller=n)
    rpc = box.send(patience=patience * 1000, further=further)
    assert rpc.target == box.now + 2 * SECOND - age * 1000


def test_repeats_of_a_tokened_rpc_run_once():
    box = Box(booking())
    first = box.send()
    assert box.did(first) == [KEEP, START]
    assert box.did(box.send(earlier=first)) == [JOIN]
    box.end(first)
    assert box.did(box.send(earlier=first)) == [JOIN]
    box.fill()
    held = box.send()
    newer = box.send(earlier=held)
    assert box.did(held) == [KEEP, PUSH_BACK] and box.did(newer) == [KEEP]


@pytest.mark.parametrize("memory, runs", [(10_000.0, True), (85.0, False)])
def test_without_room_for_a_key_nothing_is_run(memory, runs):
    box = Box(booking(), memory=memory, run_factor=2.0, key_size=80.0)
    assert (START in box.did(box.send())) == runs


@pytest.mark.parametrize("cold, most", [(False, 8), (True, 2)])
def test_crowd_counts_rpcs_back_from_calls(cold, most):
    box = Box(lookup(), calls_out=100.0, cold=cold, cold_from=0.1,
              warm_after=10 * SECOND)
    for _ in range(20):
        box.at_call(box.send())
    assert sum(box.control.places[p] for p in ("running", "calling", "waiting")) <= most


@pytest.mark.parametrize("waited, runs", [(0, False), (SECOND, True)])
def test_nothing_that_came_after_the_grace_is_run(waited, runs):
    box = Box()
    box.control.leaving(5 * SECOND, box.now)
    box.now += 2 * SECOND + 1000
    assert (START in box.did(box.send(waited=waited))) == runs


def test_everything_is_answered_before_the_stop():
    box = Box(lookup(), booking())
    rpcs = box.fill(box.methods[0]) + [box.send(box.methods[1])]
    box.control.leaving(SECOND, box.now)
    box.wait(SECOND)
    assert all(PUSH_BACK in box.did(r) or ABORT in box.did(r) for r in rpcs)


@pytest.mark.parametrize("outcome, kind, share, then", [
    (Outcome.FULL, Kind.IDEMPOTENT, 0.3, Do.SKIP),
    (Outcome.TIMEOUT, Kind.IDEMPOTENT, 0.3, Do.CALL),
    (Outcome.RESET, Kind.IDEMPOTENT, 0.3, Do.CALL),
    (Outcome.TIMEOUT, Kind.TOKENED, 0.3, Do.SKIP),
    (Outcome.TIMEOUT, Kind.IDEMPOTENT, 0.0, Do.CALL),
    (Outcome.TIMEOUT, Kind.NON_IDEMPOTENT, 0.0, ABORT),
    (Outcome.RESET, Kind.TOKENED, 0.0, ABORT),
    (Outcome.FULL, Kind.TOKENED, 0.0, Do.CALL),
    (Outcome.CONNECT_FAILED, Kind.NON_IDEMPOTENT, 0.0, Do.CALL),
])
def test_a_call_is_repeated_only_where_it_may_be(outcome, kind, share, then):
    box = Box(lookup(kind=kind, skip_share=share, window=SECOND), calls_out=4.0)
    rpc = box.send()
    box.at_call(rpc)
    assert box.call_ends(rpc, outcome)[0].do is then


@pytest.mark.parametrize("bad, then, narrowed", [(1, Do.CALL, False), (14, Do.SKIP, True)])
def test_single_lost_replies_cost_neither_the_window_nor_the_target_but_many_do(bad, then, narrowed):
    box = Box(lookup(skip_share=0.3), calls_out=60.0, cores=16)
    for _ in range(10):
        rpc = box.send()
        box.at_call(rpc)
        box.call_ends(rpc, Outcome.OK, spent=8000)
        box.end(rpc)
    window, rpcs = box.control.below.value, box.fill(many=bad)
    for rpc in rpcs:
        box.at_call(rpc)
        assert next(a.span for a in box.log if a.do is Do.CALL and a.rpc is rpc) == 240_000  # not two seconds
    box.now += 240_000
    assert [box.call_ends(rpc, Outcome.TIMEOUT)[0].do for rpc in rpcs][-1] is then
    assert (box.control.below.value < window) == narrowed
    if narrowed:  # it may be slow: what comes now waits as long as it can
        rpc = box.send()
        box.at_call(rpc)
        assert next(a.span for a in box.log if a.do is Do.CALL and a.rpc is rpc) > SECOND


@pytest.mark.parametrize("kind, halted", [(Kind.IDEMPOTENT, True), (Kind.TOKENED, False)])
def test_work_for_nobody_is_stopped_unless_a_repeat_may_want_it(kind, halted):
    box = Box(lookup(kind=kind, window=SECOND))
    rpc = box.send()
    box.gone(rpc)
    assert (HALT in box.did(rpc)) == halted


def test_cores_that_finish_nothing_are_told_and_left():
    box = Box()
    running, held = box.fill(), box.send(patience=5 * SECOND)
    held.target += 5 * SECOND
    assert not any(a.do is Do.HEALTH for a in box.wait(2 * SECOND))  # one long run is no hang
    assert any(a.do is Do.HEALTH and not a.flag for a in box.wait(SECOND))
    assert PUSH_BACK in box.did(held) and PUSH_BACK in box.did(running[0])
    assert box.did(box.send()) == [PUSH_BACK]
    box.end(running[0])
    assert any(a.do is Do.HEALTH and a.flag for a in box.wait(1))


def test_a_cost_learned_in_a_bad_moment_does_not_turn_all_away():
    box = Box(lookup(latency_target=SECOND))
    slow = box.send()
    box.now += 3 * SECOND
    box.end(slow)
    assert box.did(box.send()) == [START]


@pytest.mark.parametrize("crowd, runs", [(8.0, 4), (40.0, 2)])  # all on the cores: the limit eases too
def test_runs_make_room_for_reading_down_to_the_cores(crowd, runs):
    box = Box(lookup(latency_target=60 * SECOND, deadline=90 * SECOND))
    sent = box.fill(many=30)
    box.wait(SECOND, cores=0.5, crowd=1.0)
    first = [rpc for rpc in sent if START in box.did(rpc)]
    box.wait(SECOND, crowd=crowd)
    for rpc in first:
        box.end(rpc)
    assert len(first) == 8 and sum(START in box.did(rpc) for rpc in sent) - len(first) == runs


@pytest.mark.parametrize("callers, shortest", [(3, False), (1000, True)])
def test_connections_are_kept_for_callers_that_come_again(callers, shortest):
    box = Box(longest_idle=30 * SECOND)
    for n in range(1000):
        box.end(box.send(caller=n % callers))
        if n % 100 == 0:
            box.wait(SECOND, cores=0.5, crowd=0.0)
    spans = [a.span for a in box.log if a.do is Do.IDLE]
    assert (spans[-1] < SECOND) if shortest else spans[-1] > 10 * SECOND
    box.send(caller=0)
    assert len(box.control.seen) <= CALLERS


def test_where_all_is_read_too_late_connections_are_kept_until_it_has_cleared():
    box = Box(longest_idle=30 * SECOND)
    for waited, lasts in ((0, False), (SECOND, True), (100_000, True), (0, False)):
        for n in range(40):
            box.send(caller=n, waited=waited)
            box.wait(200_000, crowd=0.0)
        assert (box.control.idle == 30 * SECOND) == lasts, waited
        box.control.seen.clear()


def test_a_marked_try_like_a_first_one_has_the_age_at_which_such_are_turned_away():
    box = Box()
    for _ in range(4):
        box.send(patience=SECOND, waited=2 * SECOND)  # too late when they are read
    assert box.send(patience=3 * SECOND, further=True).target < box.now + SECOND


@pytest.mark.parametrize("criticality, runs", [(1.0, False), (10.0, True)])
def test_a_run_that_may_just_fit_is_worth_the_try_for_the_critical(criticality, runs):
    box = Box(lookup(criticality=criticality), lookup())
    box.control.runs[box.methods[0]].add(1000 * SECOND, box.now, 1000)
    running = box.fill(box.methods[1])
    rpc = box.send(waited=1200_000)
    box.end(running[0])
    assert (START in box.did(rpc)) == runs


def test_a_pushback_names_when_a_place_is_likely_free():
    box = Box()
    box.fill()
    rpc = box.send(waited=2 * SECOND)
    assert [0 < a.span < SECOND for a in box.log if a.rpc is rpc and a.do is PUSH_BACK] == [True]


@pytest.mark.parametrize("cores, narrower", [(0.5, False), (1.0, True)])
def test_a_window_narrows_only_at_full_cores(cores, narrower):
    box = Box(say=Say.WINDOW)
    box.wait(SECOND, cores=0.5)
    for _ in range(20):
        box.send(waited=2 * SECOND)
        box.wait(1, cores=cores)
    assert (box.control.open < 1) == narrower


def test_cores_that_hang_in_reading_are_told_until_an_rpc_is_read():
    box = Box()
    assert not any(a.do is Do.HEALTH for a in box.wait(2 * SECOND, crowd=0.0))
    assert any(a.do is Do.HEALTH and not a.flag for a in box.wait(3 * SECOND, crowd=2.0))
    assert START in box.did(box.send())


def test_an_rpc_that_gave_up_waiting_for_the_window_is_not_called_for_later():
    box = Box(lookup(), calls_out=1.0)
    box.wait(4 * SECOND)  # what its first call waits for
    first, second = box.fill()
    box.at_call(first)
    box.at_call(second)
    box.gone(second)
    box.call_ends(first, Outcome.OK)
    assert Do.CALL in box.did(first) and Do.CALL not in box.did(second)


@pytest.mark.parametrize("pooling", [None, Pooling((Pool("all", 1.0),), (0,))])
def test_with_a_share_below_one_call_the_mean_keeps_to_it(pooling):
    box = Box(lookup(), calls_out=0.5, pooling=pooling)
    box.wait(4 * SECOND)
    first, second = box.fill()
    box.at_call(first)
    before = box.control.below.value
    box.now += 200_000
    box.call_ends(first, Outcome.OK, spent=200_000)
    box.at_call(second)
    rest = 200_000 * (1 - before) / box.control.below.value  # what it owes, over what it may have now
    box.wait(int(rest) - 2 * TICK)
    assert Do.CALL not in box.did(second)
    box.wait(3 * TICK)
    assert Do.CALL in box.did(second)


@pytest.mark.parametrize("share, span", [(0.2, 500_000), (40.0, 0)])
def test_one_call_takes_no_more_than_the_limits_part_of_the_span_that_is_averaged(share, span):
    box = Box(lookup(latency_target=5 * SECOND), calls_out=share, calls_over=5 * SECOND)
    box.wait(30 * SECOND)
    rpc, _ = box.fill()
    box.at_call(rpc)
    (call,) = [action for action in box.log if action.do is Do.CALL]
    assert call.span == span if span else call.span > SECOND


@pytest.mark.parametrize("skip_share, pushed", [(0.0, True), (0.3, False)])
def test_what_its_like_waits_for_calls_counts_before_a_start_unless_it_may_do_without(skip_share, pushed):
    box = Box(lookup(skip_share=skip_share), calls_out=40.0)
    for _ in range(20):
        rpc = box.send()
        box.control.usual_call = 50_000
        rpc.off_cores = 2_200_000  # it waited for a call for more than its target
        box.now += TICK
        box.end(rpc)
    box.fill()
    held = box.send()
    assert (PUSH_BACK in box.did(held)) is pushed


def test_a_method_of_no_criticality_is_planned_for_and_still_run_where_there_is_room():
    worthless = lookup(criticality=0.0)
    box = Box(lookup(), worthless)
    box.send(worthless)
    box.send()
    box.wait(2 * SECOND)  # plans are made
    assert box.control.clients[None, box.methods[0]].rho > 0 == box.control.clients[None, worthless].rho
    only = Box(worthless)
    only.send()
    only.wait(2 * SECOND)


def test_a_cost_that_is_not_renewed_is_forgotten_even_while_other_methods_fill_the_cores():
    quick, slow = lookup(latency_target=8 * SECOND), lookup(latency_target=SECOND)
    box = Box(quick, slow)
    rpc = box.send(slow)
    box.now += 3 * SECOND
    box.end(rpc)
    box.wait(SECOND // 20)
    box.fill(quick)
    assert box.did(box.send(slow)) == [PUSH_BACK]
    box.now += 20 * SECOND
    assert box.did(box.send(slow)) == []


def test_runs_on_hung_cores_do_not_count_as_costs():
    box = Box()
    running = box.fill()
    box.wait(3 * SECOND)
    for rpc in running:
        box.end(rpc)
    assert box.control._cost(box.methods[0]) < SECOND // 10


@pytest.mark.parametrize("critical, runs", [(True, True), (False, False)])
def test_while_much_bounces_only_the_least_critical_need_more_than_their_cost(critical, runs):
    box = Box(lookup(latency_target=SECOND), booking(latency_target=SECOND))
    method = box.methods[critical]
    rpc = box.send(method)
    box.now += 1_100_000
    box.end(rpc)
    for _ in range(9):
        box.send(waited=2 * SECOND)
    box.wait(1, cores=1.0)
    assert (START in box.did(box.send(method))) == runs


@pytest.mark.parametrize("memory, held, started", [(10_000.0, 6, 2), (150.0, 4, 1), (60.0, 5, 0)])
def test_memory_bounds_what_is_held_and_what_is_started(memory, held, started):
    box = Box(memory=memory)
    rpcs = [box.send() for _ in range(8)]
    assert sum(START in box.did(r) for r in rpcs) == started
    assert box.control.places["held"] == held


@pytest.mark.parametrize("halt, ends", [
    (Halt.NONE, [ABORT]), (Halt.ABORT, [ABORT, HALT]), (Halt.SUSPEND, [ABORT, HALT]),
])
def test_work_past_its_due_time_is_stopped_where_the_site_can(halt, ends):
    box = Box(lookup(kind=Kind.NON_IDEMPOTENT), halt=halt)
    rpc = box.send()
    box.wait(6 * SECOND)
    assert box.did(rpc) == [START, *ends]


@pytest.mark.parametrize("say, calm, narrowed", [
    (Say.THRESHOLD, 0.0, lambda value: 0.3 < value <= 0.5), (Say.WINDOW, 8.0, lambda value: value < 2.0),
    (Say.SHARE, 1.0, lambda value: value < 0.7),
])
def test_each_free_value_tells_callers_to_send_less_while_the_hold_is_long(say, calm, narrowed):
    box = Box(lookup(latency_target=SECOND), booking(latency_target=SECOND), say=say)
    assert [a.value for a in box.wait(SECOND // 20) if a.do is Do.SAY] == [calm]
    running = box.fill()
    for _ in range(40):
        for _ in range(8):
            box.send(waited=200_000)
        box.wait(SECOND // 20)
        box.end(running.pop())
        running = [rpc for rpc in box.started if rpc.place == "running"]
    assert narrowed([a.value for a in box.log if a.do is Do.SAY][-1]) and not box.control.stuck


def test_abandoned_calls_are_counted_while_they_linger():
    box = Box(lookup(skip_share=0.3), calls_out=1.0, linger=SECOND // 2)
    box.wait(4 * SECOND)
    first, second = box.fill()
    box.at_call(first)
    box.call_ends(first, Outcome.TIMEOUT)
    box.gone(first)
    box.at_call(second)
    box.wait(SECOND // 2 - TICK)
    assert Do.CALL not in box.did(second)
    box.wait(SECOND)
    assert Do.CALL in box.did(second)


def test_pressure_pushes_back_the_outermost_class_until_the_lower_mark():
    box = Box()
    box.fill()
    held = [box.send() for _ in range(20)]
    box.control.clients[None, box.methods[0]].tokens[0] = -100.0
    assert PUSH_BACK not in box.did(held[-1])
    for cores, pushed in [(0.9, False), (0.96, True), (0.9, True), (0.8, False)]:
        box.wait(1, cores=cores)
        assert (PUSH_BACK in box.did(box.send())) == pushed


def test_a_tenant_past_its_share_gets_a_smaller_rate_for_a_method():
    inside, beyond = Tenant(1000.0), Tenant(0.5)
    box = Box(tenants=[inside, beyond], over_share=0.1)
    for _ in range(300):
        for tenant in (inside, beyond):
            box.send(tenant=tenant)
    box.control._plan()
    rates = [box.control.clients[tenant, box.methods[0]].rho for tenant in (inside, beyond)]
    assert rates[0] > 3 * rates[1] > 0


def test_the_time_of_stopped_runs_counts_as_cost():
    box = Box(lookup(latency_target=SECOND, deadline=SECOND), lookup())
    stopped, other = box.fill(box.methods[0], 1)[0], box.methods[1]
    for _ in range(20):
        rpc = box.send(other)
        box.wait(SECOND // 20)
        box.end(rpc)
    assert HALT in box.did(stopped)
    box.end(stopped, Outcome.CANCELLED)
    assert box.control._cost(box.methods[0]) > SECOND // 2


@pytest.mark.parametrize("changes", [
    {"cores": 1}, {"halt": Halt.NONE, "longest_advice": 0}, {"calls_out": 0.2}, {"say": Say.SHARE}])
def test_on_odd_sites_each_of_many_callers_is_answered_once(changes):
    box = Box(lookup(), booking(kind=Kind.NON_IDEMPOTENT), **changes)
    sent = [box.send(box.methods[n % 2], caller=n) for n in range(100)]
    box.wait(SECOND)
    for rpc in sent:
        if START in box.did(rpc) and rpc.place == "running":
            box.end(rpc)
    box.wait(8 * SECOND)
    assert all(rpc.place == "over" or rpc.answered for rpc in sent)
    assert all(box.did(rpc).count(START) <= 1 for rpc in sent)
    assert all(PUSH_BACK not in box.did(rpc) for rpc in sent[1::2] if rpc.ran)


@pytest.mark.parametrize("tier, calls_out, rested", [(False, 0.0, True), (True, 0.0, False), (False, 4.0, False)])
def test_calls_to_a_tier_below_that_tells_no_share_are_not_rested(tier, calls_out, rested):
    box = Box(lookup(), calls_out=calls_out, tier_below=tier)
    first, second = box.fill()
    box.at_call(first)
    box.call_ends(first, Outcome.OK, spent=200_000)
    box.at_call(second)
    assert (Do.CALL not in box.did(second)) is rested


@pytest.mark.parametrize("left, waits_till_due", [(3 * SECOND, False), (SECOND // 5, True)])
def test_a_call_that_could_not_end_before_the_target_is_given_until_the_due_time(left, waits_till_due):
    box = Box(lookup(latency_target=SECOND, deadline=6 * SECOND), calls_out=4.0)
    warm = box.send()
    box.at_call(warm)
    box.call_ends(warm, Outcome.OK, spent=100_000)
    box.end(warm)
    rpc = box.send(patience=0)
    rpc.target = box.now + left
    box.at_call(rpc)
    span = [a.span for a in box.log if a.rpc is rpc and a.do is Do.CALL][0]
    assert (span > left) is waits_till_due


@pytest.mark.parametrize("hint, pushed", [(100_000, False), (4_000_000, True)])
def test_an_rpc_whose_own_hint_does_not_fit_its_target_is_pushed_back(hint, pushed):
    box = Box(lookup(latency_target=2 * SECOND))
    for _ in range(4):  # the pace: time on the cores is the hint
        rpc = box.send(hint=200_000)
        box.now += 200_000
        box.end(rpc)
    box.fill()
    rpc = box.send(hint=hint)
    assert (PUSH_BACK in box.did(rpc)) is pushed


@pytest.mark.parametrize("by_work, even", [(False, False), (True, True)])
def test_where_worth_is_by_work_a_long_method_is_not_worth_less_per_second_of_cores(by_work, even):
    short, long = lookup(latency_target=8 * SECOND), lookup(latency_target=8 * SECOND)
    box = Box(short, long, by_work=by_work)
    for method, cost in ((short, 50_000), (long, 800_000)):
        for _ in range(6):
            rpc = box.send(method)
            box.now += cost
            box.end(rpc)
    for _ in range(400):  # far more than the cores can take, of both
        box.send(short)
        box.send(long)
    box.wait(SECOND)
    given = {c.method: c.rho / c.arrivals.read(box.now) for c in box.control.clients.values()}
    assert (given[long] > 0.8 * given[short]) is even


def test_the_limit_grows_while_cores_idle_and_eases_back_with_work_held():
    box = Box(cores=2)
    box.fill(many=12)
    box.wait(SECOND // 5, cores=0.5, crowd=1.0)  # its runs wait for disk
    grown = box.control.lim
    assert grown >= 5 and box.control.places["held"] > 0
    box.wait(SECOND, cores=1.0, crowd=6.0)
    assert box.control.places["held"] > 0 and 2 <= box.control.lim < 2 + (grown - 2) * 0.5


@pytest.mark.parametrize("further, sent_on", [(0, 21), (90, 1)])
def test_callers_are_sent_on_from_one_pressed_box_and_not_round_a_pressed_fleet(further, sent_on):
    box = Box(lookup(latency_target=SECOND // 2), memory=200.0)
    for n in range(90):
        box.send(further=n < further)
    told = [a.flag for a in box.log if a.do is PUSH_BACK]
    assert len(told) > 80 and told[-1] and abs(told.count(False) - sent_on) <= 3  # a quarter of all, if unmarked


@pytest.mark.parametrize("hint, healthy", [(4 * SECOND, True), (SECOND // 10, False)])
def test_a_long_run_known_by_its_hint_is_no_hang(hint, healthy):
    box = Box(lookup(latency_target=SECOND, deadline=90 * SECOND))
    for _ in range(3):  # its pace: a hint takes as long as it says
        quick = box.send(hint=SECOND // 10)
        box.now += SECOND // 10
        box.end(quick)
    box.send(hint=hint)
    box.wait(3 * SECOND, cores=0.5, crowd=1.0)
    assert box.control.healthy is healthy


@pytest.mark.parametrize("told, level, tried", [(True, 1, True), (True, 2, False), (False, 1, False)])
def test_where_much_bounces_what_lies_in_a_tenants_share_may_just_fit_and_go_elsewhere(told, level, tried):
    tenant = Tenant(10.0) if told else None
    box = Box(lookup(latency_target=SECOND), tenants=[tenant] if told else [], memory=400.0)
    for _ in range(20):
        box.control.runs[box.methods[0]].add(9 * SECOND // 10, box.now)
    for _ in range(5):  # no memory for these: much bounces, here and elsewhere
        box.send(tenant=tenant, size=500.0, further=True)
        box.now += 2 * SECOND
    sent = [box.send(tenant=tenant, size=500.0, further=True) for _ in range(60)]
    rpc = next(rpc for rpc in sent[1:] if (rpc.level == 1) is (level == 1))
    rpc.target = box.now + 8 * SECOND // 10
    assert box.control._hopeless(rpc) is not tried
    assert [a.flag for a in box.log if a.rpc is rpc] == [not tried]
