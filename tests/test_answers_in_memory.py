"""Answers of the instance for which there is no memory stay with the instance until there is."""

import asyncio

from tests.instance_replies import answer_bytes
from tests.mesh_builders import (
    HOST,
    PAYOUT_ROUTE_5S_TIMEOUT,
    FakeInstance,
    make_policy,
    request_bytes,
    run_scenario,
)
from thorntray.internal.connection.instance_pool import InstancePool
from thorntray.internal.connection.instance_response import InstanceResponse, ResponseFault
from thorntray.internal.connection.response_bounds import (
    MAX_RESPONSE_BYTES,
    HeldBodies,
    ResponseBounds,
)
from thorntray.internal.process.clock import SystemClock
from thorntray.internal.process.memory_budget import KEPT_ANSWERS_RATIO, MemoryBudget

MIB = 1024 * 1024
LIMIT = 420_000_000  # of the process; its budget holds three answers
ANSWER = 30_000_000
FRAME_HEAD_BYTES = 1024  # at most, of a frame with an answer


class Reader:
    """A connection that receives an answer, without I/O."""

    def __init__(self, held):
        self.held = held
        self.reading = True
        self.faulty = False
        self.bounds = ResponseBounds(held, self)
        self.bounds.begin()

    def end_as_faulty(self):
        self.faulty = True
        self.end()

    def end(self):
        self.bounds.release()
        self.held.resume()

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        self.reading = True


def make_pool(process_limit=LIMIT):
    memory = MemoryBudget(process_limit)
    held = HeldBodies(memory)
    memory.add_source("instance_answers", lambda: held.total, leaving=False)
    return memory, held


def test_as_many_announced_answers_are_read_as_fit_and_the_others_in_their_order():
    memory, held = make_pool()
    readers = [Reader(held) for _ in range(10)]
    for reader in readers:
        reader.bounds.announce_body(ANSWER)
    assert [reader.reading for reader in readers] == [True] * 3 + [False] * 7
    for done in range(10):
        assert memory.held <= memory.limit
        assert readers[done].reading
        readers[done].bounds.add_body(ANSWER)
        readers[done].end()
    assert (held.total, held.paused) == (0, 0)


def test_answers_without_a_length_are_paused_when_memory_is_full_and_one_always_goes_on():
    memory, held = make_pool()
    readers = [Reader(held) for _ in range(8)]
    unfinished, steps, most_paused = list(readers), 0, 0
    while unfinished:
        steps += 1
        assert steps < 1000
        for reader in [reader for reader in unfinished if reader.reading]:
            reader.bounds.add_body(MIB)
            if reader.bounds.body >= ANSWER:
                unfinished.remove(reader)
                reader.end()
        most_paused = max(most_paused, held.paused)
        assert memory.held <= memory.limit + ANSWER + 8 * MIB
    assert (held.total, held.paused) == (0, 0) and most_paused > 0


def test_an_answer_that_was_passed_on_is_counted_there_before_the_next_one_is_read():
    memory, held = make_pool()
    unsent = 0
    memory.add_source("unsent", lambda: unsent)
    readers = [Reader(held) for _ in range(4)]
    for reader in readers:
        reader.bounds.announce_body(ANSWER)
    readers[0].bounds.release()
    unsent = ANSWER
    held.resume()
    assert not readers[3].reading
    unsent = 0
    held.resume()
    assert readers[3].reading


def test_a_full_budget_of_requests_does_not_stop_all_answers():
    memory, held = make_pool()
    memory.add_source("requests", lambda: memory.limit, leaving=False)
    first, second = Reader(held), Reader(held)
    first.bounds.announce_body(ANSWER)
    second.bounds.announce_body(ANSWER)
    assert first.reading and not second.reading
    first.end()
    assert second.reading


def test_answers_that_slow_callers_have_not_taken_hold_back_all_until_they_have():
    memory, held = make_pool()
    unsent = memory.limit
    memory.add_source("unsent", lambda: unsent)
    reader = Reader(held)
    reader.bounds.announce_body(ANSWER)
    assert not reader.reading
    held.resume()
    assert not reader.reading
    unsent = memory.limit // 2
    held.resume()
    assert reader.reading and held.paused == 0


def test_an_answer_that_the_process_can_never_hold_ends_as_faulty():
    _, held = make_pool()
    reader = Reader(held)
    reader.bounds.announce_body(MAX_RESPONSE_BYTES + 1)
    assert reader.faulty and held.total == 0
    memory, held = make_pool(100_000_000)
    reader = Reader(held)
    reader.bounds.announce_body(memory.limit + 1)
    assert reader.faulty and held.total == 0
    reader = Reader(held)
    while not reader.faulty:
        reader.bounds.add_body(MIB)
        assert held.total <= memory.limit + MIB


def test_a_connection_whose_paused_answer_was_complete_reads_the_next_one():
    memory, held = make_pool()
    memory.add_source("unsent", lambda: memory.limit + 1)
    reader = Reader(held)
    reader.bounds.add_body(MIB)
    assert not reader.reading
    reader.bounds.release()
    assert reader.reading and held.paused == 0


def test_small_answers_are_read_while_memory_is_full():
    memory, held = make_pool()
    memory.add_source("unsent", lambda: memory.limit + 1)
    reader = Reader(held)
    reader.bounds.announce_body(1000)
    reader.bounds.add_body(1000)
    assert reader.reading


def test_ten_large_answers_are_all_delivered_within_the_budget():
    body = b"x" * ANSWER

    async def reply(request_id, writer):
        head = answer_bytes(request_id, b"").replace(b": 0\r\n", b": %d\r\n" % ANSWER)
        writer.write(head)
        for start in range(0, ANSWER, MIB):
            writer.write(body[start : start + MIB])
            await writer.drain()

    async def work():
        memory = MemoryBudget(LIMIT)
        instance = await FakeInstance(reply).start()
        pool = InstancePool(HOST, instance.port, b"thorntray-request-id", SystemClock(), memory)
        memory.add_source("instance_answers", lambda: pool.held.total, leaving=False)
        loop = asyncio.get_running_loop()
        ends = [loop.create_future() for _ in range(10)]
        most = 0

        def ended(end, response):
            nonlocal most
            most = max(most, memory.held)
            end.set_result(isinstance(response, InstanceResponse) and len(response.body))

        for number, end in enumerate(ends):
            request_id = b"id-%d" % number
            data = b"GET /x HTTP/1.1\r\nThorntray-Request-Id: %b\r\n\r\n" % request_id
            pool.send(data, request_id, b"GET", False, lambda r, end=end: ended(end, r))
        try:
            return await asyncio.wait_for(asyncio.gather(*ends), 20), most, memory
        finally:
            pool.close()
            instance.close()

    lengths, most, memory = asyncio.run(work())
    assert lengths == [ANSWER] * 10
    assert 0 < most <= memory.limit and memory.held == 0


class MostHeld:
    """The most bytes that a node has held, sampled every millisecond."""

    def __init__(self):
        self.kept = 0  # without frames that are being received
        self.in_all = 0

    async def watch(self, memory):
        """Sample until cancelled."""
        while True:
            held = memory.held_by_kind()
            in_all = sum(held.values())
            self.in_all = max(self.in_all, in_all)
            self.kept = max(self.kept, in_all - held["links_in"])
            await asyncio.sleep(0.001)


def play_slow_readers(callers, size, one_by_one):
    """Send requests, whose answers are read only after all have come.

    With `one_by_one`, each is sent after the node has written the answer to the one before.

    Returns the statuses, the most bytes that the origin has held, its budget and its metrics.
    """

    async def scenario(fleet):
        async def reply(request_id, writer):
            await asyncio.sleep(0.2)
            writer.write(answer_bytes(request_id, b"x" * size))

        fleet.memory_limit = 117_000_000
        await fleet.add("t1", "tariff", reply)
        node = await fleet.add("h1", "haul")
        await fleet.share_membership()
        ends, most = [], MostHeld()
        watching = asyncio.create_task(most.watch(node.memory))
        for number in range(callers):
            reader, writer = await asyncio.open_connection(*node.cfg.callers, limit=1024)
            writer.write(request_bytes(b"GET", "/payouts/1", f"id-{number}", 5000))
            ends.append((reader, writer))
            while one_by_one and (node.callers.requests_read <= number or node.callers.active):
                if node.metrics.exposition().count(b'refusals_total{side="origin"}'):
                    break  # a refused request is never read
                await asyncio.sleep(0.02)
            node.memory.review()
        await asyncio.sleep(2.0)
        statuses = []
        for reader, writer in ends:
            head = await reader.readuntil(b"\r\n\r\n")
            statuses.append(head[9:12])
            if head.startswith(b"HTTP/1.1 200"):
                assert len(await reader.readexactly(size)) == size
            writer.close()
        watching.cancel()
        return statuses, most, node.memory, node.metrics.exposition()

    policy = make_policy(routes=[PAYOUT_ROUTE_5S_TIMEOUT])
    return run_scenario(scenario, policy)


def assert_answers_bounded(most, limit, size):
    """Fail if more was kept than allowed, beside one answer that the only peer is sending."""
    assert 0 < most.kept <= limit * KEPT_ANSWERS_RATIO
    assert most.in_all <= limit * KEPT_ANSWERS_RATIO + size + FRAME_HEAD_BYTES


def test_answers_to_callers_that_do_not_read_have_later_requests_refused():
    size = 6 * MIB
    statuses, most, memory, _ = play_slow_readers(callers=14, size=size, one_by_one=True)
    assert statuses[0] == b"200" and statuses[-1] == b"503"
    assert set(statuses) == {b"200", b"503"}
    assert_answers_bounded(most, memory.limit, size)


def test_answers_of_peers_that_all_come_at_once_do_not_fill_the_process():
    size = 12 * MIB
    statuses, most, memory, metrics = play_slow_readers(callers=6, size=size, one_by_one=False)
    assert set(statuses) == {b"200", b"502"}
    assert_answers_bounded(most, memory.limit, size)
    dropped = statuses.count(b"502")
    assert b'thorntray_memory_refusals_total{side="answer"} %d.0' % dropped in metrics


def test_an_announced_answer_that_is_too_large_is_not_received():
    taken = 0

    async def reply(request_id, writer):
        nonlocal taken
        head = answer_bytes(request_id, b"").replace(b": 0\r\n", b": %d\r\n" % 10**12)
        writer.write(head)
        while True:
            writer.write(b"x" * MIB)
            await writer.drain()
            taken += MIB

    async def work():
        memory = MemoryBudget(LIMIT)
        instance = await FakeInstance(reply).start()
        pool = InstancePool(HOST, instance.port, b"thorntray-request-id", SystemClock(), memory)
        end = asyncio.get_running_loop().create_future()
        data = b"GET /x HTTP/1.1\r\nThorntray-Request-Id: id-1\r\n\r\n"
        pool.send(data, b"id-1", b"GET", False, end.set_result)
        try:
            return await asyncio.wait_for(end, 5)
        finally:
            pool.close()
            instance.close()

    assert asyncio.run(work()) is ResponseFault.GARBLED
    assert taken <= 16 * MIB
