"""Bytes of peers give a message that can be sent on, or the error of the codec."""

from __future__ import annotations

import math
from typing import Any

import msgspec
import pytest
from grpclib.exceptions import GRPCError
from hypothesis import given
from hypothesis import strategies as st
from tests.fuzz.cost import assert_linear
from tests.fuzz.examples import play
from tests.fuzz.strategies import changed_message

from persimmonlink_peers.codec import MessagePackCodec
from persimmonlink_peers.message import Sender
from persimmonlink_router.crash_messages import (
    CrashReport,
    ReportCrashes,
)
from persimmonlink_router.peer_messages import (
    Acknowledgement,
    EngineLoad,
    HoldNotice,
    LimitNotice,
    MirroredItem,
    MirrorPull,
    MirrorUpdate,
    ReachNotice,
    RouterHeartbeat,
    RouterMember,
    SharedFacts,
    ShareFacts,
)
from persimmonlink_router.permit_messages import (
    AskPermit,
    AskPlace,
    AskTrial,
    EndPlace,
    HandPlacesOver,
    PermitReply,
)
from persimmonlink_router.reach_messages import (
    AskReach,
    ReachReply,
    ReachState,
)
from persimmonlink_router.relay_messages import RelayPart, RelayRequest
from persimmonlink_router.stage_job import StageJob, StageNeed, TransferredResult
from persimmonlink_router.stage_messages import (
    PrepareStages,
    ReleaseResults,
)
from persimmonlink_router.stage_outcome import StageOutcome, StageState
from persimmonlink_router.stream_version_messages import (
    FindStreamVersion,
    FoundStreamVersion,
    RecordStreamVersions,
)

CODEC = MessagePackCodec()
SENDER = Sender("entry-1", "7")
KEY = ("desk-0", 17, "10.1.0.9:80")
LIMIT = LimitNotice(KEY, 2.5, 0.1)
HOLD = HoldNotice(("zz",), "entry-1", 1.0, 5.0, 4, software=("desk/v1",))
FACTS = SharedFacts(
    (HOLD,),
    {"zz": 1.5},
    (LIMIT,),
    (ReachNotice("entry-2", ("desk",), 0.5),),
    (LIMIT,),
    3.0,
)
MEMBER = RouterMember("entry-1", "7", "a", "10.1.0.1:80", "10.1.0.1:81")
MADE = TransferredResult(0, 0, "h1", "stage-0", 1000)
JOB = StageJob(
    "id-1",
    "acme",
    0,
    1.0,
    5.0,
    0.2,
    "a",
    "k1",
    (StageNeed("stage", (), 1000, 1), StageNeed("stage", (0,), 1000, 3)),
    (MADE,),
)
HEADERS = ((b"host", b"x"), (b"persimmonlink-request-id", b"id-1"))
SOUND_MESSAGES = [
    LIMIT,
    HOLD,
    FACTS,
    JOB,
    AskPermit(SENDER, LIMIT),
    PermitReply(is_granted=True, wait_s=0.5),
    AskPlace(SENDER, LIMIT, 4, 5.0),
    EndPlace(SENDER, KEY, was_rejected=True),
    HandPlacesOver(SENDER, KEY, 4, {"entry-2": (1.0, 2.0)}),
    AskReach(SENDER, KEY, 0.5),
    ReachReply(ReachState.REACHED),
    AskTrial(SENDER, "zz"),
    ShareFacts(SENDER, FACTS),
    ReportCrashes(
        SENDER,
        (CrashReport("desk-0", ("zz",), 1.0, 2.0, "desk/v1"),),
        {"yy": 0.5},
        ("entry-2",),
    ),
    RouterHeartbeat(
        SENDER,
        MEMBER,
        7,
        is_in_contact=True,
        silent_ids=("entry-3",),
        load_by_server={"desk-0": EngineLoad(1, 100)},
        facts=FACTS,
        store_age_s=0.1,
        store_steady_s=9.0,
    ),
    MirrorPull(SENDER, 7),
    MirrorUpdate(
        (MirroredItem("a", b"1", 7), MirroredItem("b", None, 8)),
        8,
        is_in_contact=True,
    ),
    PrepareStages(SENDER, JOB),
    ReleaseResults(SENDER, ("id-1",)),
    RecordStreamVersions(SENDER, {"id-1": "v1"}),
    FindStreamVersion(SENDER, "id-1", "engines"),
    FoundStreamVersion("v1", ("v1", "v2")),
    Acknowledgement(),
    StageOutcome(StageState.DONE, ("h1",), {"a": 1000.0}, 0.5, 0.2, (MADE,)),
    RelayRequest(SENDER, b"GET", b"/", HEADERS, b"", 1, "desk", "acme", 0.1),
    RelayPart(status=200, headers=HEADERS, body=b"ok", is_last=True),
]
UNBOUNDED = {"predicted_s", "bytes_by_domain", "left_s"}
LARGEST = 2**63


def list_numbers(value: Any, name: str = "") -> list[tuple[str, float]]:
    """Return the numbers of a message with the names of their fields."""
    if isinstance(value, bool):
        return []
    if isinstance(value, int | float):
        return [(name, value)]
    if isinstance(value, dict):
        return [pair for each in value.values() for pair in list_numbers(each, name)]
    if isinstance(value, list | tuple):
        return [pair for each in value for pair in list_numbers(each, name)]
    if hasattr(value, "__dataclass_fields__"):
        return [
            pair
            for field in value.__dataclass_fields__
            for pair in list_numbers(getattr(value, field), field)
        ]
    return []


def decode(data: bytes, message_type: type) -> Any:
    """Return the message, or None for bytes that the codec rejects."""
    try:
        return CODEC.decode(data, message_type)
    except GRPCError:
        return None


@pytest.mark.parametrize("sound", SOUND_MESSAGES, ids=lambda m: type(m).__name__)
def test_a_sound_message_is_decoded_as_it_was(sound):
    assert decode(CODEC.encode(sound, type(sound)), type(sound)) == sound


@pytest.mark.parametrize("sound", SOUND_MESSAGES, ids=lambda m: type(m).__name__)
@play(60)
@given(data=st.data())
def test_any_bytes_of_a_peer_are_a_bounded_message_or_rejected(sound, data):
    packed = data.draw(
        changed_message(msgspec.to_builtins(sound, builtin_types=(bytes,)))
    )
    message = decode(packed, type(sound))
    if message is None:
        return
    for name, number in list_numbers(message):
        assert not math.isnan(number), name
        if name in UNBOUNDED:
            continue
        assert math.isfinite(number), name
        assert name in ("seniority", "cores", "version") or abs(number) < 2 * LARGEST, (
            name
        )
    assert decode(CODEC.encode(message, type(sound)), type(sound)) == message
    if isinstance(message, PrepareStages):
        assert message.job.can_run in (True, False)


ODD_NUMBERS = [math.nan, math.inf, -math.inf, 1e300, 2**64 - 1]
NUMBER_FIELDS = [
    (HOLD, "age_s"),
    (LIMIT, "age_s"),
    (LIMIT, "rate_per_s"),
    (ReachNotice("n", ("desk",), 0.5), "age_s"),
    (PermitReply(is_granted=False, wait_s=0.5), "wait_s"),
    (AskPlace(SENDER, LIMIT, 4, 5.0), "lease_s"),
    (AskReach(SENDER, KEY, 0.5), "quiet_s"),
    (CrashReport("desk-0", ("zz",), 1.0), "age_s"),
    (MirrorUpdate((), 8, is_in_contact=True), "revision"),
    (MirrorUpdate((), 8, is_in_contact=True), "steady_s"),
    (JOB, "deadline_left_s"),
    (StageNeed("stage", (), 1000, 1), "pieces"),
    (StageNeed("stage", (), 1000, 1), "result_bytes"),
]


@pytest.mark.parametrize("number", ODD_NUMBERS)
@pytest.mark.parametrize(("sound", "field"), NUMBER_FIELDS)
def test_a_number_that_no_peer_sends_is_rejected(sound, field, number):
    raw = {**msgspec.to_builtins(sound, builtin_types=(bytes,)), field: number}
    with pytest.raises(GRPCError):
        CODEC.decode(msgspec.msgpack.encode(raw), type(sound))


def test_a_hold_whose_time_is_no_number_is_rejected():
    raw = {**msgspec.to_builtins(HOLD), "left_s": math.nan}
    with pytest.raises(GRPCError):
        CODEC.decode(msgspec.msgpack.encode(raw), HoldNotice)


@pytest.mark.parametrize("after", [[7], [0], [1], [-1], [2**63]])
def test_a_job_whose_stages_have_no_order_can_t_be_run(after):
    raw = msgspec.to_builtins(JOB)
    raw["stages"][0]["after"] = after
    job = decode(msgspec.msgpack.encode(raw), StageJob)
    assert job is None or not job.can_run


@pytest.mark.parametrize("place", [{"stage": 2}, {"number": 1}, {"number": 2**62}])
def test_a_job_with_a_result_that_it_has_no_place_for_can_t_be_run(place):
    raw = msgspec.to_builtins(JOB)
    raw["made"][0].update(place)
    assert not decode(msgspec.msgpack.encode(raw), StageJob).can_run


LARGE_PARTS = {
    "open lists": lambda size: b"\x91" * size,
    "maps": lambda size: b"\x81\xa1a" * (size // 3) + b"\xc0",
    "zeros": lambda size: b"\xdd" + size.to_bytes(4, "big") + b"\0" * size,
    "a text": lambda size: b"\xdb" + size.to_bytes(4, "big") + b"x" * size,
    "a length without bytes": lambda size: b"\xdd\xff\xff\xff\xff" + b"\0" * size,
    "texts": lambda size: msgspec.msgpack.encode([f"{i:08}" for i in range(size // 9)]),
    "a map": lambda size: msgspec.msgpack.encode(
        {f"{i:08}": 1.0 for i in range(size // 18)}
    ),
}


@pytest.mark.parametrize("field", ["part_ids", "x"])
@pytest.mark.parametrize("name", sorted(LARGE_PARTS))
def test_the_cost_of_a_message_is_linear_in_its_bytes(name, field):
    def make(size: int) -> bytes:
        raw = {**msgspec.to_builtins(HOLD), field: msgspec.Raw(LARGE_PARTS[name](size))}
        return msgspec.msgpack.encode(raw)

    assert_linear(lambda data: decode(data, HoldNotice), make, 20000)
