"""An instance that names a rate limit or its leaving, with whole nodes in virtual time."""

import asyncio

from tests.instance_replies import LEAVING_LINE, StateReply, rate_limit_line
from tests.mesh_builders import header_of, make_call, make_policy, make_route
from tests.virtual_mesh import run_virtual_scenario
from thorntray.internal.request.result import ResultKind
from thorntray.internal.version.policy import Target

WINDOW = 4.0  # seconds
EXCESS_FACTOR, EXCESS_REQUESTS = 1.5, 5  # of the limit in a window
NOTICE_TIME = 0.5  # seconds after the first answer that names a limit, from which it counts
LIMIT = 5.0  # requests a second
DEMAND = 60  # requests a second, more than `LIMIT` allows in any way


def loop_time():
    return asyncio.get_running_loop().time()


async def send_steadily(fleet, names, seconds, path="/prices/1", method=b"GET", run="r"):
    """Send `DEMAND` requests a second in turn to the named nodes; return their answers."""
    tasks = []
    end = loop_time() + seconds
    while loop_time() < end:
        index = len(tasks)
        request = fleet.send(names[index % len(names)], method, path, f"{run}-{index}")
        tasks.append(asyncio.create_task(request))
        await asyncio.sleep(1 / DEMAND)
    return await asyncio.gather(*tasks)


def most_in_window(arrivals, since):
    times = [at for at in arrivals if at >= since]
    return max((sum(at <= t < at + WINDOW for t in times) for at in times), default=0)


def allowed(limit=LIMIT):
    return EXCESS_FACTOR * limit * WINDOW + EXCESS_REQUESTS


async def add_service(fleet, reply, others=()):
    """Add the limited instance t1, further instances of its service, and two callers' nodes."""
    await fleet.add("t1", "tariff", reply)
    for name in others:
        await fleet.add(name, "tariff")
    for name in ("h1", "h2"):
        await fleet.add(name, "haul")
    await fleet.share_membership()


def test_an_instance_gets_no_more_first_sends_than_the_limit_that_it_names():
    async def scenario(fleet):
        await add_service(fleet, StateReply(rate_limit_line(LIMIT)))
        await send_steadily(fleet, ["h1", "h2", "t1"], 3.0)
        return fleet.instances["t1"].arrivals

    arrivals = run_virtual_scenario(scenario)
    assert most_in_window(arrivals, arrivals[0] + NOTICE_TIME) <= allowed()


def test_what_does_not_fit_the_limit_of_an_instance_runs_at_another():
    async def scenario(fleet):
        await add_service(fleet, StateReply(rate_limit_line(LIMIT)), others=["t2"])
        answers = await send_steadily(fleet, ["h1", "h2"], 2.0)
        return fleet.instances["t1"].arrivals, answers

    arrivals, answers = run_virtual_scenario(scenario)
    assert most_in_window(arrivals, arrivals[0] + NOTICE_TIME) <= allowed()
    assert sum(answer.startswith(b"HTTP/1.1 200") for answer in answers) >= 0.99 * len(answers)


def test_what_fits_nowhere_is_refused_at_once_with_the_time_to_return():
    async def scenario(fleet):
        await add_service(fleet, StateReply(rate_limit_line(0.25)))
        await fleet.get("h1", "/prices/1", "first")
        await asyncio.sleep(0.1)
        started = loop_time()
        answer = await fleet.get("h2", "/prices/1", "second")
        return answer, loop_time() - started

    answer, seconds = run_virtual_scenario(scenario)
    assert answer.startswith(b"HTTP/1.1 503")
    assert seconds < 0.1
    # The next of the four seconds' requests fits in about 3.9 seconds; jitter adds up to a half.
    assert 3.0 <= float(header_of(answer, b"Retry-After")) <= 6.0


def test_valued_work_gets_what_a_limited_instance_still_takes():
    async def scenario(fleet):
        await add_service(fleet, StateReply(rate_limit_line(10.0)))
        await send_steadily(fleet, ["h1"], 0.5, run="warm")
        views = asyncio.create_task(send_steadily(fleet, ["h1"], 2.5, run="view"))
        payouts = []
        for number in range(12):
            payout = fleet.send("h2", b"POST", "/payouts/1", f"payout-{number}")
            payouts.append(asyncio.create_task(payout))
            await asyncio.sleep(0.2)
        return await asyncio.gather(*payouts), await views, fleet.instances["t1"].run_ids

    payouts, views, run_ids = run_virtual_scenario(scenario)
    assert sum(answer.startswith(b"HTTP/1.1 200") for answer in payouts) >= 11
    assert sum(answer.startswith(b"HTTP/1.1 503") for answer in views) > len(views) / 2
    refused = [n for n, answer in enumerate(views) if answer.startswith(b"HTTP/1.1 503")]
    assert not {b"view-%d" % number for number in refused} & set(run_ids)


def test_retries_stay_within_the_limit_of_the_instance():
    async def scenario(fleet):
        await add_service(fleet, StateReply(rate_limit_line(LIMIT)), others=["t2"])

        async def fail(request_id, writer):
            writer.write(b"HTTP/1.1 500 X\r\nThorntray-Request-Id: %b\r\n" % request_id)
            writer.write(b"Content-Length: 0\r\n\r\n")

        fleet.instances["t2"]._reply = fail
        await send_steadily(fleet, ["h1", "h2"], 3.0)
        return fleet.instances["t1"].arrivals

    arrivals = run_virtual_scenario(scenario)
    assert most_in_window(arrivals, arrivals[0] + NOTICE_TIME) <= allowed()


def test_a_restarted_node_learns_the_limit_of_its_instance_from_its_peers():
    async def scenario(fleet):
        await add_service(fleet, StateReply(rate_limit_line(LIMIT), delay=0.3))
        await send_steadily(fleet, ["h1", "h2"], 1.5)
        await fleet.restart_node("t1")
        fleet.announce("t1", sequence=2)
        restarted_at = loop_time()
        await fleet.share_membership()
        await send_steadily(fleet, ["h1", "h2"], 2.0, run="again")
        return fleet.instances["t1"].arrivals, restarted_at

    arrivals, restarted_at = run_virtual_scenario(scenario)
    first_second = [at for at in arrivals if restarted_at <= at < restarted_at + 1.0]
    assert 1 <= len(first_second) <= EXCESS_FACTOR * LIMIT + EXCESS_REQUESTS
    assert most_in_window(arrivals, arrivals[0] + NOTICE_TIME + 0.3) <= allowed()


def test_the_first_sends_of_a_restarted_node_wait_for_an_answer():
    async def scenario(fleet):
        await add_service(fleet, StateReply(rate_limit_line(2.0), delay=0.5))
        await send_steadily(fleet, ["t1"], 1.0)
        return fleet.instances["t1"].arrivals

    # The node knows nothing of the instance yet, and no peer does.
    arrivals = run_virtual_scenario(scenario)
    assert len(arrivals) <= 8


def test_a_limit_that_is_no_longer_named_or_rises_lets_requests_through_again():
    async def scenario(fleet):
        reply = StateReply(rate_limit_line(LIMIT))
        await add_service(fleet, reply)
        await send_steadily(fleet, ["h1"], 1.0, run="limited")
        reply.header_lines = rate_limit_line(2 * LIMIT)
        await send_steadily(fleet, ["h1"], 1.0, run="rising")
        reply.header_lines = b""
        await send_steadily(fleet, ["h1"], 1.0, run="settling")
        answers = await send_steadily(fleet, ["h1"], 1.0, run="free")
        arrivals = [id for id in fleet.instances["t1"].run_ids if id.startswith(b"rising")]
        return answers, len(arrivals)

    answers, rising = run_virtual_scenario(scenario)
    assert LIMIT < rising <= EXCESS_FACTOR * 2 * LIMIT + EXCESS_REQUESTS
    assert sum(answer.startswith(b"HTTP/1.1 200") for answer in answers) >= 0.95 * len(answers)


def test_a_limit_of_zero_stops_requests_but_for_a_rare_one_that_shows_its_end():
    async def scenario(fleet):
        reply = StateReply(rate_limit_line(0))
        await add_service(fleet, reply)
        await fleet.get("h1", "/prices/1", "first")
        await send_steadily(fleet, ["h1", "h2"], 3.0)
        stopped = len(fleet.instances["t1"].arrivals)
        reply.header_lines = b""
        fleet.announce("t1", sequence=2)
        await send_steadily(fleet, ["h1", "h2"], 3.5, run="probing")
        answers = await send_steadily(fleet, ["h1", "h2"], 0.5, run="free")
        return stopped, answers

    stopped, answers = run_virtual_scenario(scenario)
    assert stopped <= 3
    assert sum(answer.startswith(b"HTTP/1.1 200") for answer in answers) >= 0.9 * len(answers)


def test_an_unreadable_limit_leaves_the_one_before_in_force():
    async def scenario(fleet):
        reply = StateReply(rate_limit_line(LIMIT))
        await add_service(fleet, reply)
        await send_steadily(fleet, ["h1"], 1.0)
        reply.header_lines = rate_limit_line("some")
        answers = await send_steadily(fleet, ["h1"], 2.0, run="unreadable")
        return fleet.instances["t1"].arrivals, answers

    arrivals, answers = run_virtual_scenario(scenario)
    assert most_in_window(arrivals, arrivals[0] + NOTICE_TIME) <= allowed()
    assert any(answer.startswith(b"HTTP/1.1 200") for answer in answers)


def test_an_instance_that_names_its_leaving_gets_no_further_request():
    async def scenario(fleet):
        reply = StateReply()
        await add_service(fleet, reply, others=["t2"])
        await send_steadily(fleet, ["h1", "h2"], 0.5)
        reply.header_lines = LEAVING_LINE
        left_at = loop_time()
        answers = await send_steadily(fleet, ["h1", "h2", "t1"], 1.5, run="leaving")
        fleet.announce("t1", sequence=9)  # a late announcement of the boot that leaves
        answers += await send_steadily(fleet, ["h1", "h2", "t1"], 0.5, run="late")
        late = [at for at in fleet.instances["t1"].arrivals if at > left_at + NOTICE_TIME]
        return late, answers

    late, answers = run_virtual_scenario(scenario)
    assert late == []
    assert all(answer.startswith(b"HTTP/1.1 200") for answer in answers)


def test_a_restarted_node_does_not_use_an_instance_that_peers_know_to_leave():
    async def scenario(fleet):
        await add_service(fleet, StateReply(LEAVING_LINE), others=["t2"])
        await send_steadily(fleet, ["h1", "h2"], 0.5)
        await fleet.restart_node("t1")
        await fleet.share_membership()
        await asyncio.sleep(0.2)
        fleet.announce("t1", sequence=5)
        restarted_at = loop_time()
        await send_steadily(fleet, ["t1", "h1", "h2"], 1.0, run="again")
        return [at for at in fleet.instances["t1"].arrivals if at > restarted_at]

    assert run_virtual_scenario(scenario) == []


def test_a_new_boot_of_an_instance_that_left_is_used_without_the_limit_of_the_one_before():
    async def scenario(fleet):
        reply = StateReply(LEAVING_LINE + rate_limit_line(0))
        await add_service(fleet, reply)
        await fleet.get("h1", "/prices/1", "first")
        reply.header_lines = b""
        fleet.announce("t1", started_ms=2000, sequence=1)
        await asyncio.sleep(0.3)
        return await send_steadily(fleet, ["h1"], 0.5, run="new")

    answers = run_virtual_scenario(scenario)
    assert sum(answer.startswith(b"HTTP/1.1 200") for answer in answers) >= 0.9 * len(answers)


def test_calls_of_running_requests_stay_within_the_limit():
    routes = [
        make_route(),
        make_route(name="inner", prefix="/inner/"),
        make_route(name="outer", prefix="/outer/", targets=(Target("haul", 1.0),)),
    ]

    async def scenario(fleet):
        await add_service(fleet, StateReply(rate_limit_line(LIMIT)))
        callers = []

        async def call_inner(request_id, writer):
            call = fleet.get("h1", "/inner/1", request_id.decode() + ".c1")
            callers.append(asyncio.create_task(call))
            await asyncio.gather(callers[-1])
            writer.write(b"HTTP/1.1 200 X\r\nThorntray-Request-Id: %b\r\n" % request_id)
            writer.write(b"Content-Length: 0\r\n\r\n")

        for name in ("h1", "h2"):
            fleet.instances[name]._reply = call_inner
        await send_steadily(fleet, ["h1", "h2"], 3.0, path="/outer/1")
        return fleet.instances["t1"].arrivals

    arrivals = run_virtual_scenario(scenario, make_policy(routes=routes))
    assert most_in_window(arrivals, arrivals[0] + NOTICE_TIME) <= allowed()


def test_no_request_waits_at_a_limited_instance_that_cannot_start_in_time():
    async def scenario(fleet):
        await add_service(fleet, StateReply(rate_limit_line(4.0)))
        await fleet.get("h1", "/prices/1", "first")
        owner, ends = fleet.nodes["t1"].owner, {}

        def submit(name, worth):
            call = make_call(request_id=name.encode(), max_wait=0.6, worth=worth)
            owner.submit(call, lambda result: ends.setdefault(name, result))

        for number in range(4):  # they could start after 0.25, 0.5, 0.75 and 1.0 seconds
            submit(f"view-{number}", worth=1.0)
        refused_at_once = sorted(ends)
        submit("payout", worth=8.0)
        return refused_at_once, sorted(ends), ends["view-1"]

    refused_at_once, refused, displaced = run_virtual_scenario(scenario)
    assert refused_at_once == ["view-2", "view-3"]
    assert refused == ["view-1", "view-2", "view-3"]
    assert displaced.kind is ResultKind.NOT_RUN
    assert 0.6 <= displaced.retry_after <= 0.8


def test_an_instance_that_falls_silent_gets_no_more_than_its_limit():
    async def scenario(fleet):
        reply = StateReply(rate_limit_line(LIMIT))
        await add_service(fleet, reply)
        await send_steadily(fleet, ["h1", "h2"], 1.0)
        reply.delay = 60.0
        await send_steadily(fleet, ["h1", "h2"], 2.5, run="silent")
        return fleet.instances["t1"].arrivals

    arrivals = run_virtual_scenario(scenario)
    assert most_in_window(arrivals, arrivals[0] + NOTICE_TIME) <= allowed()


def test_a_pause_of_the_node_saves_up_no_burst():
    async def scenario(fleet):
        await add_service(fleet, StateReply(rate_limit_line(LIMIT)))
        await send_steadily(fleet, ["h1", "h2"], 1.0)
        asyncio.get_running_loop().stand_still(3.0)
        resumed_at = loop_time()
        await send_steadily(fleet, ["h1", "h2", "t1"], 1.0, run="resumed")
        return [at for at in fleet.instances["t1"].arrivals if at >= resumed_at]

    assert 1 <= len(run_virtual_scenario(scenario)) <= LIMIT + 2
