"""One odd datagram or frame stops nothing: the next sound one is answered as before.

Failure of issue 53: a reader that takes in more than is later sent or computed with fails far from
the message that brought it, as a gossip loop that sends to a port out of range.
"""

import asyncio
from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.builders import LoopClock, make_member
from tests.mesh_builders import HOST
from tests.odd_values import json_bytes, property_test
from thorntray.errors import BadMessage
from thorntray.internal.bounded import MAX_INT, MAX_NAME_LENGTH
from thorntray.internal.connection.frame import decode_frame, encode_frame
from thorntray.internal.membership.gossip import (
    Ack,
    Address,
    Digest,
    Join,
    Ping,
    PingRequest,
    Spread,
    decode_datagram,
    encode_datagram,
)
from thorntray.internal.membership.member import Health
from thorntray.internal.membership.membership import Membership
from thorntray.internal.membership.udp import UdpTransport


@pytest.mark.parametrize(
    "odd",
    [
        {"gossip_port": 70_000},
        {"gossip_port": -1},
        {"peer_port": 2**40},
        {"version": 2**64 - 1},
        {"name": "n" * 5000},
    ],
    ids=repr,
)
def test_an_odd_member_among_the_updates_is_left_out_and_the_others_hold(odd):
    """Guards against a gossip loop that ends when it sends to a port out of range."""
    sender, sound = make_member("n1", address="10.0.0.1"), make_member("n3", address="10.0.0.3")
    updates = (make_member("n2", address="10.0.0.2")._replace(**odd), sound)
    for datagram in (Ping(1, sender, {"policy": 3}, updates), Spread(sender, {}, updates)):
        decoded = decode_datagram(encode_datagram(datagram))
        assert decoded == msgspec.structs.replace(datagram, updates=(sound,))
        encode_datagram(decoded)


def test_a_datagram_of_an_odd_sender_is_refused():
    sender = make_member("n1", gossip_port=70_000)
    with pytest.raises(BadMessage):
        decode_datagram(encode_datagram(Spread(sender, {}, ())))


@given(st.binary(max_size=120) | json_bytes)
@property_test
def test_any_bytes_are_a_datagram_that_can_be_sent_on_or_refused(data):
    for payload in (data, b"\x01" + data):
        try:
            decoded = decode_datagram(payload)
        except BadMessage:
            continue
        encode_datagram(decoded)


ODD_MEMBERS = [
    {"gossip_port": 0, "peer_port": 0},
    {"gossip_port": 65535, "address": ""},
    {"address": "no address"},
    {"version": MAX_INT},
    {"name": ""},
    {"name": "own"},
    {"name": "own", "version": MAX_INT},
    {"domain": "x" * MAX_NAME_LENGTH, "service": ""},
]


@pytest.mark.parametrize("odd", ODD_MEMBERS, ids=repr)
@pytest.mark.parametrize("health", Health)
def test_a_node_goes_on_with_gossip_after_any_member_that_it_takes_in(odd, health):
    """Guards against a loop of the protocol that ends when it meets a member of another writer."""
    member = make_member("n2", address=HOST)._replace(health=health, **odd)
    revisions = {"policy": MAX_INT, "policy-age": MAX_INT}
    received = []

    async def scenario():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: failures.append(context))
        udp = await UdpTransport.open(Address(HOST, 0))
        own = make_member("own", address=HOST, version=5)
        node = Membership(
            own, udp, LoopClock(), Random(1), dict, lambda *args: None, lambda name: None
        )
        udp.receive = node.on_datagram
        node.start()
        for datagram in (
            Ping(MAX_INT, member, revisions, (member,)),
            Ack(MAX_INT, member, revisions, (member,)),
            PingRequest(1, member, "n9"),
            Spread(member, revisions, (member, member)),
            Join(member),
            Digest(member, revisions, (MAX_INT, 0)),
        ):
            node.on_datagram(encode_datagram(datagram), Address(HOST, 9))
        await asyncio.sleep(1.5)
        peer = await UdpTransport.open(Address(HOST, 0))
        peer.receive = lambda data, address: received.append(decode_datagram(data))
        port = peer._endpoint.get_extra_info("sockname")[1]
        sound = make_member("n3", address=HOST, gossip_port=port)
        node.on_datagram(encode_datagram(Ping(7, sound, {}, ())), Address(HOST, port))
        await asyncio.sleep(0.1)
        failed = [task for task in node._tasks._tasks if task.done()]
        await node.stop()
        udp.close()
        peer.close()
        return failed

    failures = []
    assert asyncio.run(scenario()) == [] and failures == []
    assert any(isinstance(datagram, Ack) and datagram.sequence == 7 for datagram in received)


@given(st.binary(max_size=120))
@property_test
def test_any_bytes_are_a_frame_that_can_be_sent_on_or_refused(data):
    try:
        frame = decode_frame(data)
    except BadMessage:
        return
    encode_frame(frame)


@pytest.mark.parametrize(
    "address", [("10.0.0.1", 70_000), ("999.1.1.1", 7), ("no address", 7), ("::1", 7)]
)
def test_a_datagram_to_an_impossible_address_is_dropped(address):
    async def work():
        transport = await UdpTransport.open(Address(HOST, 0))
        transport.send(b"x", Address(*address))
        transport.close()

    asyncio.run(work())
